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
import org.chivevale.proxy.internal.fleet.RenewalParticipant;
import org.chivevale.proxy.internal.pool.InstanceKey;
import org.chivevale.proxy.internal.pool.InstancePool;
import org.chivevale.proxy.internal.pool.PoolService;
import org.chivevale.proxy.internal.request.GroupPositionHistories;
import org.chivevale.wire.proto.EndpointMember;
import org.chivevale.wire.proto.HealthReport;
import org.chivevale.wire.proto.RenewRequest;

/**
 * Probes the primaries of the groups assigned to this proxy and of the groups that it reads from.
 *
 * <p>A probe requests the primary's position, which also tells how old the data of replicas is.
 * Invariant: only probes that were sent and got no response, and connections that failed, count as
 * silence; a pause of this process or a wait for a free connection does not. Used on the event
 * loop.
 */
public final class Prober implements Service, RenewalParticipant {
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
    private long lastTickNanos;
    private long ownPauseNanos;

    /** The probe state of one primary; times are on this process's monotonic clock. */
    private static final class Probe {
        long term;
        long lastResponseAtNanos;
        boolean isRunning;
        boolean isSuspect;

        /** When the oldest probe without a response was sent; 0 when there is none. */
        long pendingSinceNanos;

        void onResponse(long nowNanos) {
            lastResponseAtNanos = nowNanos;
            pendingSinceNanos = 0;
        }

        void markPending(long sentAtNanos) {
            if (pendingSinceNanos == 0) {
                pendingSinceNanos = sentAtNanos;
            }
        }

        boolean isSilentFor(long nanos, long nowNanos) {
            return pendingSinceNanos != 0 && nowNanos - pendingSinceNanos > nanos;
        }
    }

    /**
     * Creates the prober.
     *
     * @param settings the process's settings
     * @param directory groups and proxies
     * @param pools connection pools of the endpoints
     * @param histories record the positions of primaries
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
                    link.addRenewalParticipant(this);
                    directory.addListener(this::updateAssignments);
                });
        loop.every(settings.timing().probeMillis(), this::tick);
    }

    private void updateAssignments() {
        Set<GroupId> own = new HashSet<>();
        for (Database database : directory.configuration().databases()) {
            for (int slot = 0; slot < database.slots(); slot++) {
                GroupId group = new GroupId(database.name(), slot);
                if (ProberChoice.choose(group, directory.proxies().values())
                        .contains(settings.id())) {
                    own.add(group);
                }
            }
        }
        assigned = own;
        probes.keySet().removeIf(group -> !assigned.contains(group) || isFenced(group));
    }

    /** Returns whether a group has no primary now, so that probes of the last one are void. */
    private boolean isFenced(GroupId group) {
        return directory.configuration().group(group).primary() == null;
    }

    private void tick() {
        long now = EventLoop.nowNanos();
        long periodNanos = settings.timing().probeMillis() * NANOS_PER_MILLI;
        ownPauseNanos = lastTickNanos == 0 ? 0 : Math.max(0, now - lastTickNanos - 2 * periodNanos);
        lastTickNanos = now;
        Set<GroupId> wanted = new HashSet<>(assigned);
        wanted.addAll(histories.activeGroups(now));
        boolean newlySuspect = false;
        for (GroupId id : wanted) {
            Group group = directory.configuration().group(id);
            if (group.primary() != null && directory.isLeased(now)) {
                newlySuspect |= probeIfOpen(group, now);
                if (histories.isActive(id, now)) {
                    directory.servingReplicas(group).forEach(member -> probeReplica(group, member));
                }
            }
        }
        if (newlySuspect) {
            link.renewSoon();
        }
    }

    /** Probes a primary; forgets an earlier probe of one that gets no requests now. */
    private boolean probeIfOpen(Group group, long nowNanos) {
        if (!directory.availability().isOpen(group.id(), group.primary())) {
            probes.remove(group.id());
            return false;
        }
        return probe(group, nowNanos);
    }

    private boolean probe(Group group, long nowNanos) {
        Probe probe = probes.computeIfAbsent(group.id(), key -> new Probe());
        InstancePool pool = pools.primaryPool(group);
        if (probe.term != group.term()) {
            probe.term = group.term();
            probe.onResponse(nowNanos);
        }
        if (pool.stats().lastResponseAtNanos() - probe.lastResponseAtNanos > 0) {
            probe.onResponse(pool.stats().lastResponseAtNanos());
        }
        if (probe.pendingSinceNanos != 0) {
            probe.pendingSinceNanos += ownPauseNanos;
        }
        boolean silent =
                probe.isSilentFor(
                        settings.timing().suspectAfterMillis() * NANOS_PER_MILLI, nowNanos);
        boolean newlySuspect = silent && !probe.isSuspect && assigned.contains(group.id());
        probe.isSuspect = silent;
        if (!probe.isRunning) {
            probePrimary(group, pool, probe, nowNanos);
        }
        return newlySuspect;
    }

    private void probePrimary(Group group, InstancePool pool, Probe probe, long nowNanos) {
        probe.isRunning = true;
        long timeoutNanos = settings.timing().suspectAfterMillis() * NANOS_PER_MILLI;
        pool.acquire(SYSTEM, nowNanos + timeoutNanos)
                .onFailure(
                        failure -> {
                            if (failure instanceof DatabaseFailure) {
                                probe.markPending(nowNanos);
                            }
                        })
                .compose(connection -> requestStatus(connection, group, pool, probe))
                .onComplete(ended -> probe.isRunning = false);
    }

    private Future<PrimaryStatus> requestStatus(
            DatabaseConnection connection, Group group, InstancePool pool, Probe probe) {
        long sentAtNanos = EventLoop.nowNanos();
        probe.markPending(sentAtNanos);
        return pool.runAndRelease(
                        connection,
                        DatabaseConnection::primaryStatus,
                        settings.timing().suspectAfterMillis())
                .onSuccess(status -> onStatus(status, group, probe, sentAtNanos));
    }

    private void onStatus(PrimaryStatus status, Group group, Probe probe, long sentAtNanos) {
        probe.onResponse(EventLoop.nowNanos());
        if (status.timeline() == group.term()) {
            histories.recordSample(
                    directory.configuration().group(group.id()),
                    group.term(),
                    sentAtNanos,
                    status.position());
        }
    }

    private void probeReplica(Group group, EndpointMember member) {
        InstancePool pool = pools.memberPool(member);
        if (!probedReplicas.add(pool.key())) {
            return;
        }
        long timeoutMillis = settings.timing().suspectAfterMillis();
        pool.acquire(SYSTEM, EventLoop.nowNanos() + timeoutMillis * NANOS_PER_MILLI)
                .compose(
                        connection -> {
                            long sentAtNanos = EventLoop.nowNanos();
                            return pool.runAndRelease(
                                            connection,
                                            DatabaseConnection::replicaPosition,
                                            timeoutMillis)
                                    .onSuccess(
                                            position ->
                                                    onReplicaPosition(
                                                            group, pool, position, sentAtNanos));
                        })
                .onComplete(ended -> probedReplicas.remove(pool.key()));
    }

    private void onReplicaPosition(
            Group group, InstancePool pool, long position, long sentAtNanos) {
        Group current = directory.configuration().group(group.id());
        if (current.term() == group.term()) {
            pool.stats()
                    .recordPosition(
                            position, histories.historyOf(current).lagNanos(position, sentAtNanos));
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
                            .setSuspect(probe.isSuspect)
                            .setSilentMillis(
                                    Math.max(
                                            0,
                                            (now - probe.lastResponseAtNanos) / NANOS_PER_MILLI)));
        }
    }
}
