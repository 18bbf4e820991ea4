package org.chivevale.control.deployment;

import org.chivevale.core.group.EndpointId;
import org.chivevale.core.settings.HostPort;

/**
 * State that an endpoint announces about itself.
 *
 * <p>Immutable.
 *
 * @param endpoint the endpoint's id
 * @param database the database that it serves
 * @param address where proxies connect
 * @param region the endpoint's region
 * @param dataCenter the endpoint's data centre
 * @param startedUnixMillis wall-clock time at which it started, which identifies the incarnation
 * @param sequence increases with each announcement of an incarnation
 * @param primary true when it considers itself the primary
 * @param shuttingDown true when it is shutting down
 * @param warmupLeftMillis time until it is warm; 0 when it is
 */
public record EndpointAnnouncement(
        EndpointId endpoint,
        String database,
        HostPort address,
        String region,
        String dataCenter,
        long startedUnixMillis,
        long sequence,
        boolean primary,
        boolean shuttingDown,
        long warmupLeftMillis) {}
