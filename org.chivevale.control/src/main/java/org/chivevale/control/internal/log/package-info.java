/** The agreed log and the configuration that it drives. */
package org.chivevale.control.internal.log;
