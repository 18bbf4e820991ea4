/** The control process. */
package org.chivevale.control;
