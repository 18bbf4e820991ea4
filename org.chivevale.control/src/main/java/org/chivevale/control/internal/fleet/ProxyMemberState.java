package org.chivevale.control.internal.fleet;

import org.chivevale.core.settings.HostPort;

/**
 * A proxy as it last reported itself.
 *
 * <p>Immutable.
 *
 * @param id the proxy
 * @param incarnation tells a restart
 * @param region where it stands
 * @param dataCenter where it stands
 * @param forwardAddress where other proxies reach it
 * @param sequence number of its last renewal
 * @param configVersion the configuration it had in force then
 */
public record ProxyMemberState(
        String id,
        long incarnation,
        String region,
        String dataCenter,
        HostPort forwardAddress,
        long sequence,
        long configVersion) {}
