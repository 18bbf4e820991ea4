package org.chivevale.proxy.internal.health;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.PrimaryStatus;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.ControlLink;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.fleet.RenewalPart;
import org.chivevale.proxy.internal.pool.InstanceKey;
import org.chivevale.proxy.internal.pool.InstancePool;
import org.chivevale.proxy.internal.pool.PoolService;
import org.chivevale.proxy.internal.request.GroupPositionHistories;
import org.chivevale.wire.proto.EndpointMember;
import org.chivevale.wire.proto.HealthReport;
import org.chivevale.wire.proto.RenewRequest;

/**
 * Probes primaries: those that this proxy was chosen for, and those whose groups are read here.
 *
 * <p>A probe asks the primary's position, which also dates the data of replicas. Invariant: only
 * questions that were sent and left unanswered, and connections that failed, count as silence; a
 * pause of this process or a wait for a free connection does not. Used on the event loop.
 */
public final class Prober implements Service, RenewalPart {
    /** Name in the kernel. */
    public static final String NAME = "prober";

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final ClientAccountId SYSTEM = new ClientAccountId("chivevale");

    private final ProxySettings settings;
    private final Directory directory;
    private final PoolService pools;
    private final GroupPositionHistories histories;
    private final Map<GroupId, Probe> probes = new HashMap<>();
    private final Set<InstanceKey> probedReplicas = new HashSet<>();
    private Set<GroupId> assigned = Set.of();
    private ControlLink link;
    private long tickedNanos;
    private long ownPauseNanos;

    /** What is known of one primary; times are of this proxy's monotonic clock. */
    private static final class Probe {
        long term;
        long aliveNanos;
        boolean running;
        boolean suspect;

        /** When the oldest question was sent that the primary has left unanswered; 0 for none. */
        long unansweredSinceNanos;

        void answered(long nowNanos) {
            aliveNanos = nowNanos;
            unansweredSinceNanos = 0;
        }

        void unanswered(long askedNanos) {
            if (unansweredSinceNanos == 0) {
                unansweredSinceNanos = askedNanos;
            }
        }

        boolean silentFor(long nanos, long nowNanos) {
            return unansweredSinceNanos != 0 && nowNanos - unansweredSinceNanos > nanos;
        }
    }

    /**
     * Creates the prober.
     *
     * @param settings the process's settings
     * @param directory knows groups and proxies
     * @param pools hands out connections
     * @param histories take the positions
     */
    public Prober(
            ProxySettings settings,
            Directory directory,
            PoolService pools,
            GroupPositionHistories histories) {
        this.settings = settings;
        this.directory = directory;
        this.pools = pools;
        this.histories = histories;
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        link = kernel.find(ControlLink.NAME, ControlLink.class);
        loop.runAndWait(
                () -> {
                    link.add(this);
                    directory.listen(this::assign);
                });
        loop.every(settings.timing().probeMillis(), this::tick);
    }

    private void assign() {
        Set<GroupId> mine = new HashSet<>();
        for (Database database : directory.configuration().databases()) {
            for (int slot = 0; slot < database.slots(); slot++) {
                GroupId group = new GroupId(database.name(), slot);
                if (ProberChoice.choose(group, directory.proxies().values())
                        .contains(settings.id())) {
                    mine.add(group);
                }
            }
        }
        assigned = mine;
        probes.keySet().removeIf(group -> !assigned.contains(group) || isFenced(group));
    }

    /** Tells whether a group has no primary now; what was asked of the last one counts no more. */
    private boolean isFenced(GroupId group) {
        return directory.configuration().group(group).primary() == null;
    }

    private void tick() {
        long now = EventLoop.nowNanos();
        long periodNanos = settings.timing().probeMillis() * NANOS_PER_MILLI;
        ownPauseNanos = tickedNanos == 0 ? 0 : Math.max(0, now - tickedNanos - 2 * periodNanos);
        tickedNanos = now;
        Set<GroupId> wanted = new HashSet<>(assigned);
        wanted.addAll(histories.activeGroups(now));
        boolean newlySuspect = false;
        for (GroupId id : wanted) {
            Group group = directory.configuration().group(id);
            if (group.primary() != null && directory.leased(now)) {
                newlySuspect |= probe(group, now);
                if (histories.isActive(id, now)) {
                    directory.replicas(group).forEach(member -> askReplica(group, member));
                }
            }
        }
        if (newlySuspect) {
            link.renewSoon();
        }
    }

    private boolean probe(Group group, long nowNanos) {
        Probe probe = probes.computeIfAbsent(group.id(), key -> new Probe());
        InstancePool pool = pools.primaryPool(group);
        if (probe.term != group.term()) {
            probe.term = group.term();
            probe.answered(nowNanos);
        }
        if (pool.stats().lastResponseAtNanos() - probe.aliveNanos > 0) {
            probe.answered(pool.stats().lastResponseAtNanos());
        }
        if (probe.unansweredSinceNanos != 0) {
            probe.unansweredSinceNanos += ownPauseNanos;
        }
        boolean silent =
                probe.silentFor(settings.timing().suspectAfterMillis() * NANOS_PER_MILLI, nowNanos);
        boolean newlySuspect = silent && !probe.suspect && assigned.contains(group.id());
        probe.suspect = silent;
        if (!probe.running) {
            ask(group, pool, probe, nowNanos);
        }
        return newlySuspect;
    }

    private void ask(Group group, InstancePool pool, Probe probe, long nowNanos) {
        probe.running = true;
        long patience = settings.timing().suspectAfterMillis() * NANOS_PER_MILLI;
        pool.acquire(SYSTEM, nowNanos + patience)
                .onFailure(
                        failure -> {
                            if (failure instanceof DatabaseFailure) {
                                probe.unanswered(nowNanos);
                            }
                        })
                .compose(connection -> askOn(connection, group, pool, probe))
                .onComplete(ended -> probe.running = false);
    }

    private Future<PrimaryStatus> askOn(
            DatabaseConnection connection, Group group, InstancePool pool, Probe probe) {
        long asked = EventLoop.nowNanos();
        probe.unanswered(asked);
        return pool.runAndRelease(
                        connection,
                        DatabaseConnection::primaryStatus,
                        settings.timing().suspectAfterMillis())
                .onSuccess(status -> answered(status, group, probe, asked));
    }

    private void answered(PrimaryStatus status, Group group, Probe probe, long askedNanos) {
        probe.answered(EventLoop.nowNanos());
        if (status.timeline() == group.term()) {
            histories.recordSample(
                    directory.configuration().group(group.id()),
                    group.term(),
                    askedNanos,
                    status.position());
        }
    }

    private void askReplica(Group group, EndpointMember member) {
        InstancePool pool = pools.memberPool(member);
        if (!probedReplicas.add(pool.key())) {
            return;
        }
        long patience = settings.timing().suspectAfterMillis();
        pool.acquire(SYSTEM, EventLoop.nowNanos() + patience * NANOS_PER_MILLI)
                .compose(
                        connection -> {
                            long asked = EventLoop.nowNanos();
                            return pool.runAndRelease(
                                            connection,
                                            DatabaseConnection::replicaPosition,
                                            patience)
                                    .onSuccess(position -> reached(group, pool, position, asked));
                        })
                .onComplete(ended -> probedReplicas.remove(pool.key()));
    }

    private void reached(Group group, InstancePool pool, long position, long askedNanos) {
        Group current = directory.configuration().group(group.id());
        if (current.term() == group.term()) {
            pool.stats()
                    .recordPosition(
                            position, histories.historyOf(current).lagNanos(position, askedNanos));
        }
    }

    @Override
    public void addTo(RenewRequest.Builder request) {
        long now = EventLoop.nowNanos();
        for (GroupId id : assigned) {
            Group group = directory.configuration().group(id);
            Probe probe = probes.get(id);
            if (group.primary() == null || probe == null || probe.term != group.term()) {
                continue;
            }
            request.addHealthReports(
                    HealthReport.newBuilder()
                            .setGroupId(id.toString())
                            .setEndpointId(group.primary().value())
                            .setTerm(group.term())
                            .setSuspect(probe.suspect)
                            .setSilentMillis(
                                    Math.max(0, (now - probe.aliveNanos) / NANOS_PER_MILLI)));
        }
    }
}
