/** The operators' command line. */
package org.chivevale.ctl;
