package org.chivevale.control.deployment;

import org.chivevale.core.group.EndpointId;
import org.chivevale.core.settings.HostPort;

/**
 * What an endpoint says of itself.
 *
 * <p>Immutable.
 *
 * @param endpoint its name
 * @param database what it serves
 * @param address where proxies connect
 * @param region where it stands
 * @param dataCenter where it stands
 * @param bornUnixMillis when it started
 * @param sequence grows with each announcement since its start
 * @param primary true when it takes itself for the primary
 * @param leaving true when it is about to end
 */
public record EndpointAnnouncement(
        EndpointId endpoint,
        String database,
        HostPort address,
        String region,
        String dataCenter,
        long bornUnixMillis,
        long sequence,
        boolean primary,
        boolean leaving) {}
