/** Proxy leases, membership, connection shares and rate grants. */
package org.chivevale.control.internal.fleet;
