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
 * Marks replicas in the log that have been silent for long while their primary serves.
 *
 * <p>A later failover of the primary does not wait for them: what was acknowledged since then is
 * held by others, and so is what they had before. The next announcement removes the mark. Applies
 * to databases whose writes replicas acknowledge. Used on the event loop.
 */
final class LostReplicaMarker {
    private static final Logger LOG = Logger.getLogger(LostReplicaMarker.class);

    /** Counts from the end of an announcement; longer than a restart of an endpoint takes. */
    private static final long LOST_AFTER_NANOS = TimeUnit.SECONDS.toNanos(6);

    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final GroupId group;
    private final FailoverLog log;
    private final FailoverFleet fleet;
    private final Map<String, Long> silentSinceNanos = new HashMap<>();
    private long nextCheckNanos;

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
        if (!isNeeded || !isPrimaryServing(configuration.group(group), now)) {
            silentSinceNanos.clear();
            return;
        }
        Set<String> silent = findSilent(configuration);
        silentSinceNanos.keySet().retainAll(silent);
        for (String endpoint : silent) {
            long sinceNanos = silentSinceNanos.computeIfAbsent(endpoint, key -> now);
            if (now - sinceNanos > LOST_AFTER_NANOS) {
                silentSinceNanos.put(endpoint, now);
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
