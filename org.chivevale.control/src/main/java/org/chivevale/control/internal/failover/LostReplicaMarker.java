package org.chivevale.control.internal.failover;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.GroupId;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointPut;
import org.jboss.logging.Logger;

/**
 * Marks replicas in the log that have been silent for long while their primary had writes
 * acknowledged.
 *
 * <p>A later failover of the primary does not wait for them: another replica holds a write that was
 * acknowledged since then, and with it all earlier ones. The next announcement removes the mark.
 * Applies to databases whose writes replicas acknowledge. Used on the event loop.
 */
final class LostReplicaMarker {
    private static final Logger LOG = Logger.getLogger(LostReplicaMarker.class);

    /** Counts from the end of an announcement; longer than a restart of an endpoint takes. */
    private static final long LOST_AFTER_NANOS = TimeUnit.SECONDS.toNanos(6);

    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final GroupId group;
    private final FailoverLog log;
    private final FailoverFleet fleet;
    private final Map<String, Silence> silences = new HashMap<>();
    private long nextCheckNanos;

    /**
     * Since when a replica has been silent, and which position was acknowledged by then.
     *
     * @param sinceNanos the monotonic time
     * @param acknowledged the highest position of the group's term; 0 while none is known
     */
    private record Silence(long sinceNanos, long acknowledged) {
        /** Tells whether a write was acknowledged that the silent replica had no part in. */
        boolean isOutlived(long nowNanos, long acknowledgedNow) {
            return acknowledged > 0
                    && acknowledgedNow > acknowledged
                    && nowNanos - sinceNanos > LOST_AFTER_NANOS;
        }
    }

    LostReplicaMarker(GroupId group, FailoverLog log, FailoverFleet fleet) {
        this.group = group;
        this.log = log;
        this.fleet = fleet;
        this.nextCheckNanos = fleet.nowNanos();
    }

    /** Marks the replicas for which it is due. */
    void check() {
        long now = fleet.nowNanos();
        if (now - nextCheckNanos < 0) {
            return;
        }
        nextCheckNanos = now + CHECK_INTERVAL_NANOS;
        Configuration configuration = log.configuration();
        Database database = configuration.database(group.database());
        boolean isNeeded = database != null && database.isCoverageRequired();
        Group state = configuration.group(group);
        if (!isNeeded || !isPrimaryServing(state, now)) {
            silences.clear();
            return;
        }
        long acknowledged = fleet.acknowledgedWrites(group).highest(state.term());
        Set<String> silent = findSilent(configuration);
        silences.keySet().retainAll(silent);
        for (String endpoint : silent) {
            Silence silence = silences.get(endpoint);
            if (silence == null || silence.acknowledged() == 0) {
                silences.put(endpoint, new Silence(now, acknowledged));
            } else if (silence.isOutlived(now, acknowledged)) {
                silences.put(endpoint, new Silence(now, acknowledged));
                mark(endpoint);
            }
        }
    }

    private boolean isPrimaryServing(Group state, long nowNanos) {
        InstanceAnnouncement primary =
                state.primary() == null
                        ? null
                        : fleet.membership().instance(state.primary(), group);
        return primary != null && fleet.membership().isFresh(primary, nowNanos);
    }

    private Set<String> findSilent(Configuration configuration) {
        Set<String> silent = new HashSet<>();
        for (EndpointPut registered : configuration.endpoints(group)) {
            if (!registered.getLost()) {
                silent.add(registered.getEndpointId());
            }
        }
        fleet.membership()
                .instances(group)
                .forEach(instance -> silent.remove(instance.endpoint().value()));
        return silent;
    }

    private void mark(String endpoint) {
        LOG.infof("group %s: replica %s is lost, it has been silent for long", group, endpoint);
        log.propose(now -> buildMark(now, endpoint))
                .onFailure(
                        failure ->
                                LOG.warnf(
                                        "group %s: mark of the lost replica %s not committed: %s",
                                        group, endpoint, failure));
    }

    private List<Change> buildMark(Configuration now, String endpoint) {
        boolean hasSpoken =
                fleet.membership().instances(group).stream()
                        .anyMatch(instance -> instance.endpoint().value().equals(endpoint));
        if (hasSpoken) {
            return List.of();
        }
        return now.endpoints(group).stream()
                .filter(put -> put.getEndpointId().equals(endpoint))
                .map(put -> Change.newBuilder().setEndpointPut(put.toBuilder().setLost(true)))
                .map(Change.Builder::build)
                .toList();
    }
}
