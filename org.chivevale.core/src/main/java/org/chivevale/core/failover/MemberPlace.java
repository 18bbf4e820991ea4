package org.chivevale.core.failover;

import org.chivevale.core.group.EndpointId;

/**
 * Where a member of a group is, as it announced itself.
 *
 * <p>Immutable.
 *
 * @param endpoint the member
 * @param region its region
 * @param dataCenter its data centre
 * @param liveReplica true when it is a replica whose announcement is fresh and that is not shutting
 *     down
 */
public record MemberPlace(
        EndpointId endpoint, String region, String dataCenter, boolean liveReplica) {}
