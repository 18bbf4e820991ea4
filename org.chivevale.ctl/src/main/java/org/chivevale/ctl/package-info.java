/** The command line of the operators, {@code chivevalectl}. */
package org.chivevale.ctl;
