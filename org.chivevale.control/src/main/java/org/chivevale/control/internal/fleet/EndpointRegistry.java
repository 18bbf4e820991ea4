package org.chivevale.control.internal.fleet;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.EndpointRemoved;
import org.jboss.logging.Logger;

/**
 * Registers endpoints by announcements that carry an incarnation and a sequence number.
 *
 * <p>Invariants: an announcement older than the last accepted one, or of an incarnation that has
 * left, changes nothing; of two endpoints at one address, the one with the later incarnation wins;
 * changes are committed to the log before they are acknowledged, so that a new leader knows them.
 * The log keeps the incarnations and sequences that decide this. Used on the event loop.
 */
public final class EndpointRegistry {
    /** Names all incarnations of an endpoint. */
    public static final long ANY_INCARNATION = Long.MAX_VALUE;

    private static final Logger LOG = Logger.getLogger(EndpointRegistry.class);
    private static final String OPERATOR = "announcement";
    private static final long ANNOUNCEMENT_TTL_NANOS = 4_000_000_000L;

    private final LogService log;
    private final FleetService fleet;
    private final Map<String, LastAnnouncement> lastAnnouncements = new HashMap<>();

    private record LastAnnouncement(long incarnation, long sequence) {
        boolean isAtLeast(long otherIncarnation, long otherSequence) {
            return incarnation > otherIncarnation
                    || incarnation == otherIncarnation && sequence >= otherSequence;
        }
    }

    /**
     * Creates the registry.
     *
     * @param log commits the changes
     * @param fleet owns the membership of live endpoints
     */
    public EndpointRegistry(LogService log, FleetService fleet) {
        this.log = log;
        this.fleet = fleet;
    }

    /**
     * Registers an endpoint or updates its registration.
     *
     * @param announced the endpoint's announcement
     * @param sequence increases with each announcement of an incarnation
     * @return completes once the resulting change is committed, at once if there is none
     */
    public Future<Void> announce(InstanceAnnouncement announced, long sequence) {
        Configuration now = log.state().configuration();
        EndpointPut known = now.endpoint(announced.group(), announced.endpoint());
        if (isOutdated(announced, sequence) || isSuperseded(now, announced, sequence)) {
            LOG.infof(
                    "ignored outdated announcement of %s: incarnation %d, sequence %d",
                    announced.endpoint(), announced.incarnation(), sequence);
            return Future.succeededFuture();
        }
        lastAnnouncements.put(
                announced.endpoint().value(),
                new LastAnnouncement(announced.incarnation(), sequence));
        EndpointPut wanted = endpointPut(announced, sequence);
        if (isRegistered(wanted, known)) {
            markAlive(announced);
            return Future.succeededFuture();
        }
        boolean wasCold = known != null && known.getCold();
        return log.propose(
                        OPERATOR, "", current -> buildChanges(current, announced, wanted, wasCold))
                .onSuccess(version -> onCommitted(announced, version))
                .mapEmpty();
    }

    private boolean isOutdated(InstanceAnnouncement announced, long sequence) {
        LastAnnouncement last = lastAnnouncements.get(announced.endpoint().value());
        return last != null && last.isAtLeast(announced.incarnation(), sequence);
    }

    /** Tells whether the log shows that a later announcement was accepted or the endpoint left. */
    private static boolean isSuperseded(
            Configuration now, InstanceAnnouncement announced, long sequence) {
        EndpointPut known = now.endpoint(announced.group(), announced.endpoint());
        boolean later =
                known != null
                        && new LastAnnouncement(known.getIncarnation(), known.getSequence())
                                .isAtLeast(announced.incarnation(), sequence);
        return later
                || now.hasLeft(announced.group(), announced.endpoint(), announced.incarnation())
                || findSuccessor(now, announced) != null;
    }

    /** Tells whether a registration says the same; the sequence alone is no reason to write it. */
    private static boolean isRegistered(EndpointPut wanted, EndpointPut known) {
        return known != null
                && wanted.equals(known.toBuilder().setSequence(wanted.getSequence()).build());
    }

    /** Finds an endpoint with a later incarnation at the same address; null if there is none. */
    private static EndpointPut findSuccessor(Configuration now, InstanceAnnouncement announced) {
        for (EndpointPut other : now.endpoints()) {
            boolean later =
                    isOtherAtSameAddress(other, announced)
                            && other.getIncarnation() > announced.incarnation();
            if (later) {
                return other;
            }
        }
        return null;
    }

    private static boolean isOtherAtSameAddress(EndpointPut other, InstanceAnnouncement announced) {
        return !other.getEndpointId().equals(announced.endpoint().value())
                && other.getHost().equals(announced.address().host())
                && other.getPort() == announced.address().port();
    }

    /**
     * Builds the changes of an announcement. An endpoint that has been marked as cold since the
     * announcement came in stays cold, since a later one has to say that it is warm.
     */
    private static List<Change> buildChanges(
            Configuration now, InstanceAnnouncement announced, EndpointPut put, boolean wasCold) {
        boolean databaseExists = now.database(announced.group().database()) != null;
        EndpointPut known = now.endpoint(announced.group(), announced.endpoint());
        boolean markedSince = known != null && known.getCold() && !wasCold;
        EndpointPut wanted = markedSince ? put.toBuilder().setCold(true).build() : put;
        if (!databaseExists
                || isSuperseded(now, announced, wanted.getSequence())
                || isRegistered(wanted, known)) {
            return List.of();
        }
        List<Change> changes = new ArrayList<>();
        for (EndpointPut other : now.endpoints()) {
            if (isOtherAtSameAddress(other, announced)) {
                changes.add(removal(other));
            }
        }
        changes.add(Change.newBuilder().setEndpointPut(wanted).build());
        return changes;
    }

    private static Change removal(EndpointPut last) {
        return Change.newBuilder()
                .setEndpointRemoved(
                        EndpointRemoved.newBuilder()
                                .setEndpointId(last.getEndpointId())
                                .setGroupId(last.getGroupId())
                                .setIncarnation(last.getIncarnation()))
                .build();
    }

    private void onCommitted(InstanceAnnouncement announced, long version) {
        Configuration now = log.state().configuration();
        EndpointPut registered = now.endpoint(announced.group(), announced.endpoint());
        if (registered == null) {
            return;
        }
        removeReplaced(now, announced);
        markAlive(announced.withCold(registered.getCold()));
        LOG.infof(
                "endpoint %s of %s at %s: primary %b, leaving %b, cold %b, incarnation %d,"
                        + " version %d",
                announced.endpoint(),
                announced.group(),
                announced.address(),
                announced.primary(),
                announced.shuttingDown(),
                registered.getCold(),
                announced.incarnation(),
                version);
    }

    /** Removes the endpoints whose address another one uses; a primary stays until a failover. */
    private void removeReplaced(Configuration now, InstanceAnnouncement announced) {
        for (List<InstanceAnnouncement> group : fleet.membership().instancesByGroup().values()) {
            for (InstanceAnnouncement other : group) {
                boolean replaced =
                        other.address().equals(announced.address())
                                && now.endpoint(other.group(), other.endpoint()) == null
                                && !other.endpoint().equals(now.group(other.group()).primary());
                if (replaced) {
                    fleet.membership().remove(other.endpoint(), other.group());
                }
            }
        }
    }

    private void markAlive(InstanceAnnouncement announced) {
        fleet.membership().announce(announced, EventLoop.nowNanos() + ANNOUNCEMENT_TTL_NANOS);
    }

    /**
     * Deregisters an endpoint that has shut down. One that has started again since stays
     * registered.
     *
     * @param endpoint the endpoint
     * @param incarnation the incarnation that has shut down; {@link #ANY_INCARNATION} if unknown
     * @return completes once the removal is committed
     */
    public Future<Void> deregister(EndpointId endpoint, long incarnation) {
        return log.propose(OPERATOR, "", now -> removals(now, endpoint, incarnation))
                .onSuccess(version -> removeFromMembership(endpoint))
                .mapEmpty();
    }

    private static List<Change> removals(Configuration now, EndpointId endpoint, long incarnation) {
        return now.endpoints().stream()
                .filter(put -> put.getEndpointId().equals(endpoint.value()))
                .filter(put -> put.getIncarnation() <= incarnation)
                .map(EndpointRegistry::removal)
                .toList();
    }

    private void removeFromMembership(EndpointId endpoint) {
        boolean isRegistered =
                log.state().configuration().endpoints().stream()
                        .anyMatch(put -> put.getEndpointId().equals(endpoint.value()));
        if (isRegistered) {
            LOG.infof("endpoint %s has started again and stays registered", endpoint);
            return;
        }
        lastAnnouncements.remove(endpoint.value());
        for (GroupId group : fleet.membership().instancesByGroup().keySet()) {
            boolean primary = endpoint.equals(log.state().configuration().group(group).primary());
            if (!primary) {
                fleet.membership().remove(endpoint, group);
            }
        }
        LOG.infof("endpoint %s deregistered", endpoint);
    }

    private static EndpointPut endpointPut(InstanceAnnouncement announced, long sequence) {
        return EndpointPut.newBuilder()
                .setEndpointId(announced.endpoint().value())
                .setGroupId(announced.group().toString())
                .setHost(announced.address().host())
                .setPort(announced.address().port())
                .setDataCenter(announced.dataCenter())
                .setRegion(announced.region())
                .setIncarnation(announced.incarnation())
                .setPrimary(announced.primary())
                .setLeaving(announced.shuttingDown())
                .setConnectionLimit(announced.connectionLimit())
                .setSequence(sequence)
                .setCold(announced.cold())
                .build();
    }

    static InstanceAnnouncement toAnnouncement(EndpointPut put) {
        return new InstanceAnnouncement(
                new EndpointId(put.getEndpointId()),
                GroupId.parse(put.getGroupId()),
                new HostPort(put.getHost(), put.getPort()),
                put.getRegion(),
                put.getDataCenter(),
                put.getIncarnation(),
                put.getPrimary(),
                0,
                "",
                put.getConnectionLimit(),
                put.getLeaving(),
                true,
                put.getCold());
    }
}
