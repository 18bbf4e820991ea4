/** Execution of failovers and switchovers of primaries. */
package org.chivevale.control.internal.failover;
