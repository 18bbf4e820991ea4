package org.chivevale.control.internal.failover;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.control.MemberConnectorFactory;
import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.failover.FailoverPolicy;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;

/**
 * Monitors all groups, replaces failed primaries and reconciles members with the configuration.
 *
 * <p>Active only while this process holds the leader lease. Used on the event loop.
 */
public final class FailoverService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "failover";

    private static final long TICK_MILLIS = 25;
    private static final String OPERATOR = "failover";

    private final MemberConnectorFactory connectorFactory;
    private final Map<String, GroupFailover> failovers = new TreeMap<>();
    private final Map<String, GroupReconciler> reconcilers = new TreeMap<>();
    private final Map<String, LostReplicaMarker> lostReplicas = new TreeMap<>();
    private final FailoverPolicy policy;
    private LogService log;
    private FleetService fleet;
    private FailoverLog failoverLog;
    private FailoverFleet failoverFleet;
    private MemberClient memberClient;
    private FailoverTimings timings;

    /** Read by the metrics' thread. */
    private volatile int blockedGroups;

    /**
     * Creates the service.
     *
     * @param connectorFactory creates the connector to members of groups
     * @param policy decides each step of a failover
     */
    public FailoverService(MemberConnectorFactory connectorFactory, FailoverPolicy policy) {
        this.connectorFactory = connectorFactory;
        this.policy = policy;
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        log = kernel.find(LogService.NAME, LogService.class);
        fleet = kernel.find(FleetService.NAME, FleetService.class);
        failoverLog = FailoverLog.of(log, OPERATOR);
        failoverFleet = FailoverFleet.of(fleet);
        MeterRegistry registry = kernel.find(Metrics.NAME, Metrics.class).registry();
        timings = new FailoverTimings(registry);
        registry.gauge("chivevale.control.failover.blocked", this, self -> self.blockedGroups);
        memberClient = new MemberClient(connectorFactory.create(loop));
        loop.every(TICK_MILLIS, this::tick);
    }

    private void tick() {
        if (!log.isLeader()) {
            failovers.clear();
            reconcilers.clear();
            lostReplicas.clear();
            blockedGroups = 0;
            return;
        }
        int blocked = 0;
        Configuration configuration = log.state().configuration();
        for (Database database : configuration.databases()) {
            for (int slot = 0; slot < database.slots(); slot++) {
                GroupId group = new GroupId(database.name(), slot);
                failover(group).tick();
                lostReplicas
                        .computeIfAbsent(
                                group.toString(),
                                key -> new LostReplicaMarker(group, failoverLog, failoverFleet))
                        .check();
                blocked += blockedReason(group).isEmpty() ? 0 : 1;
                reconcilers
                        .computeIfAbsent(
                                group.toString(),
                                key -> new GroupReconciler(group, log, fleet, memberClient))
                        .reconcile();
            }
        }
        blockedGroups = blocked;
    }

    private GroupFailover failover(GroupId group) {
        return failovers.computeIfAbsent(
                group.toString(),
                key ->
                        new GroupFailover(
                                group, failoverLog, failoverFleet, memberClient, policy, timings));
    }

    /**
     * Returns why the replacement of a group's primary is blocked.
     *
     * @param group the group
     * @return the reason; empty when it is not blocked
     */
    public String blockedReason(GroupId group) {
        return failover(group).blockedReason();
    }

    /**
     * Returns the measured durations of failovers.
     *
     * @return the durations, to be used on the event loop
     */
    public FailoverTimings timings() {
        return timings;
    }
}
