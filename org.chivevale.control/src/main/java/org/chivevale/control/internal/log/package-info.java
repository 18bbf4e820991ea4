/** The replicated log and the configuration as its state machine. */
package org.chivevale.control.internal.log;
