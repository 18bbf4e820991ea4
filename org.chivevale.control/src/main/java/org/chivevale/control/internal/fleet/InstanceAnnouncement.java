package org.chivevale.control.internal.fleet;

import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.MemberTarget;

/**
 * An endpoint's announcement of its instance in one database group.
 *
 * <p>Immutable.
 *
 * @param endpoint the endpoint
 * @param group the group
 * @param address where the instance accepts connections
 * @param region the endpoint's region
 * @param dataCenter the endpoint's data centre
 * @param incarnation increases with each restart of the endpoint
 * @param primary true when the instance runs as a primary
 * @param timeline its timeline; 0 when the announcement does not contain it
 * @param upstream address of the primary that it replicates from; empty for none
 * @param connectionLimit maximum number of connections that it accepts
 * @param shuttingDown true when it is draining before its shutdown
 * @param followsAutomatically true when its database discovers a new primary and replicates from it
 *     without a command from control
 * @param cold true while it may receive only its database's warm-up rate
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
        boolean shuttingDown,
        boolean followsAutomatically,
        boolean cold) {
    /** Creates the announcement of an instance that is not cold. */
    public InstanceAnnouncement(
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
            boolean shuttingDown,
            boolean followsAutomatically) {
        this(
                endpoint,
                group,
                address,
                region,
                dataCenter,
                incarnation,
                primary,
                timeline,
                upstream,
                connectionLimit,
                shuttingDown,
                followsAutomatically,
                false);
    }

    /** Returns the announcement with another value of {@link #cold}. */
    InstanceAnnouncement withCold(boolean isCold) {
        return new InstanceAnnouncement(
                endpoint,
                group,
                address,
                region,
                dataCenter,
                incarnation,
                primary,
                timeline,
                upstream,
                connectionLimit,
                shuttingDown,
                followsAutomatically,
                isCold);
    }

    /**
     * Returns the instance as a target for calls.
     *
     * @return the endpoint, group and address
     */
    public MemberTarget target() {
        return new MemberTarget(endpoint, group, address);
    }
}
