package org.chivevale.control.internal.fleet;

import org.chivevale.core.settings.HostPort;

/**
 * The state of a proxy as of its last lease renewal.
 *
 * <p>Immutable.
 *
 * @param id the proxy's id
 * @param incarnation increases with each restart of the proxy
 * @param region the proxy's region
 * @param dataCenter the proxy's data centre
 * @param forwardAddress where other proxies forward requests to it
 * @param sequence sequence number of the renewal
 * @param configVersion version of the configuration that the proxy was using
 */
public record ProxyMemberState(
        String id,
        long incarnation,
        String region,
        String dataCenter,
        HostPort forwardAddress,
        long sequence,
        long configVersion) {}
