package org.chivevale.proxy.internal.relay;

import org.chivevale.core.settings.HostPort;

/**
 * A proxy that holds the connections of an endpoint.
 *
 * <p>Immutable.
 *
 * @param proxyId the proxy's id
 * @param incarnation tells the process from an earlier one with the same id
 * @param region its region
 * @param address where it accepts relayed statements
 */
public record RelayHostAddress(String proxyId, long incarnation, String region, HostPort address) {}
