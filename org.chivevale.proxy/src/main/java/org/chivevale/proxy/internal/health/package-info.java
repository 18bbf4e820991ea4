/** Health probes of primaries and their replicas. */
package org.chivevale.proxy.internal.health;
