/** Leases, membership, shares and rates of the fleet. */
package org.chivevale.control.internal.fleet;
