/** Logging configuration of the processes. */
package org.chivevale.core.log;
