/** Replacing a primary. */
package org.chivevale.core.failover;
