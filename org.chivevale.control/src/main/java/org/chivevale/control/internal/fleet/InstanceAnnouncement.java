package org.chivevale.control.internal.fleet;

import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.MemberTarget;

/**
 * What an endpoint announces of one database group.
 *
 * <p>Immutable.
 *
 * @param endpoint the endpoint
 * @param group the group
 * @param address where the instance is reached
 * @param region where the endpoint stands
 * @param dataCenter where the endpoint stands
 * @param incarnation tells a restart of the endpoint
 * @param primary true when it runs as a primary
 * @param timeline its timeline
 * @param upstream whom it follows, or an empty text
 * @param connectionLimit connections it accepts
 * @param leaving true when it wants no new work
 * @param followsByItself true when its database finds a new primary and follows it without being
 *     told
 */
public record InstanceAnnouncement(
        EndpointId endpoint,
        GroupId group,
        HostPort address,
        String region,
        String dataCenter,
        long incarnation,
        boolean primary,
        long timeline,
        String upstream,
        int connectionLimit,
        boolean leaving,
        boolean followsByItself) {
    /**
     * Returns where the instance is reached.
     *
     * @return its place in the group
     */
    public MemberTarget target() {
        return new MemberTarget(endpoint, group, address);
    }
}
