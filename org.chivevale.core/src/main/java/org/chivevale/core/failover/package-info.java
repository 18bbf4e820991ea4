/** Failover and switchover: replacing the primary of a database group. */
package org.chivevale.core.failover;
