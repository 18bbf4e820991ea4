package org.chivevale.control.internal.failover;

import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.fleet.Membership;
import org.chivevale.core.failover.AcknowledgedWrites;
import org.chivevale.core.failover.FailureDetector;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.lease.LeaseGrantor;
import org.chivevale.process.EventLoop;

/**
 * What {@link GroupFailover} needs of the fleet: members, leases, reports of failures, and the
 * clock that these use.
 *
 * <p>Membership, leases and detectors are replaced when this process becomes leader, so none is to
 * be kept. Used on the event loop.
 */
interface FailoverFleet {
    /**
     * Returns the membership.
     *
     * @return the live endpoints
     */
    Membership membership();

    /**
     * Returns the leases of the proxies.
     *
     * @return the lease grantor
     */
    LeaseGrantor leases();

    /**
     * Returns the failure detector of a group's primary.
     *
     * @param group the group
     * @return the detector
     */
    FailureDetector failureDetector(GroupId group);

    /**
     * Returns what proxies have reported as acknowledged in a group.
     *
     * @param group the group
     * @return the acknowledged writes that this leader knows
     */
    AcknowledgedWrites acknowledgedWrites(GroupId group);

    /**
     * Returns the monotonic time.
     *
     * @return nanoseconds since an arbitrary start
     */
    long nowNanos();

    /**
     * Adapts the service.
     *
     * @param fleet the service
     * @return the fleet
     */
    static FailoverFleet of(FleetService fleet) {
        return new FailoverFleet() {
            @Override
            public Membership membership() {
                return fleet.membership();
            }

            @Override
            public LeaseGrantor leases() {
                return fleet.leases();
            }

            @Override
            public FailureDetector failureDetector(GroupId group) {
                return fleet.failureDetector(group);
            }

            @Override
            public AcknowledgedWrites acknowledgedWrites(GroupId group) {
                return fleet.acknowledgedWrites(group);
            }

            @Override
            public long nowNanos() {
                return EventLoop.nowNanos();
            }
        };
    }
}
