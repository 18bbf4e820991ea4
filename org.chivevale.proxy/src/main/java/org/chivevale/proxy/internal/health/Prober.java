package org.chivevale.proxy.internal.health;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.ControlLink;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.fleet.RenewalPart;
import org.chivevale.proxy.internal.pool.InstancePool;
import org.chivevale.proxy.internal.pool.PoolService;
import org.chivevale.proxy.internal.request.GroupHistories;
import org.chivevale.wire.proto.HealthReport;
import org.chivevale.wire.proto.RenewRequest;

/**
 * Probes primaries: those that this proxy was chosen for, and those whose groups are read here.
 *
 * <p>A probe asks the primary's position, which also dates the data of replicas. Used on the event
 * loop.
 */
public final class Prober implements Service, RenewalPart {
    /** Name in the kernel. */
    public static final String NAME = "prober";

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final ClientAccountId SYSTEM = new ClientAccountId("chivevale");

    private final ProxySettings settings;
    private final Directory directory;
    private final PoolService pools;
    private final GroupHistories histories;
    private final Map<GroupId, Probe> probes = new HashMap<>();
    private Set<GroupId> assigned = Set.of();
    private ControlLink link;

    private static final class Probe {
        long term;
        long aliveNanos;
        boolean running;
        boolean suspect;
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
            GroupHistories histories) {
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
        probes.keySet().removeIf(group -> !assigned.contains(group));
    }

    private void tick() {
        long now = EventLoop.nowNanos();
        Set<GroupId> wanted = new HashSet<>(assigned);
        wanted.addAll(histories.activeGroups(now));
        boolean newlySuspect = false;
        for (GroupId id : wanted) {
            Group group = directory.configuration().group(id);
            if (group.primary() != null && directory.leased(now)) {
                newlySuspect |= probe(group, now);
            }
        }
        if (newlySuspect) {
            link.renewSoon();
        }
    }

    private boolean probe(Group group, long nowNanos) {
        Probe probe = probes.computeIfAbsent(group.id(), key -> new Probe());
        InstancePool pool = pools.primary(group);
        if (probe.term != group.term()) {
            probe.term = group.term();
            probe.aliveNanos = nowNanos;
            probe.suspect = false;
        }
        if (pool.stats().lastAliveNanos() - probe.aliveNanos > 0) {
            probe.aliveNanos = pool.stats().lastAliveNanos();
        }
        boolean silent =
                nowNanos - probe.aliveNanos
                        > settings.timing().suspectAfterMillis() * NANOS_PER_MILLI;
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
                .compose(
                        connection -> {
                            long asked = EventLoop.nowNanos();
                            return connection
                                    .primaryStatus()
                                    .timeout(
                                            settings.timing().suspectAfterMillis(),
                                            TimeUnit.MILLISECONDS)
                                    .onSuccess(
                                            status -> {
                                                long now = EventLoop.nowNanos();
                                                pool.stats().answered(now - asked, now);
                                                if (status.timeline() == group.term()) {
                                                    histories.sample(
                                                            directory
                                                                    .configuration()
                                                                    .group(group.id()),
                                                            group.term(),
                                                            asked,
                                                            status.position());
                                                }
                                            })
                                    .onFailure(failure -> closeBroken(connection))
                                    .onComplete(ended -> pool.release(connection));
                        })
                .onComplete(ended -> probe.running = false);
    }

    private static void closeBroken(DatabaseConnection connection) {
        connection.close();
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
