package org.chivevale.control.deployment;

import io.vertx.core.Future;
import java.util.Collection;
import java.util.OptionalLong;
import org.chivevale.control.internal.fleet.EndpointRegistry;
import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.control.internal.fleet.KnownDataCenters;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.ConfigurationDiff;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.DesiredConfiguration;
import org.chivevale.core.config.EvacuationChanges;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.process.EventLoop;
import org.jboss.logging.Logger;

/**
 * Replaces and returns whole configurations, registers endpoints and takes evacuation orders, for
 * an adapter.
 *
 * <p>Invariants: a configuration is in effect once it is committed; the highest version wins, and a
 * lower or equal one changes nothing; only a leader that holds its lease serves requests. Used on
 * the event loop.
 */
public final class DeploymentService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "deployment";

    private static final Logger LOG = Logger.getLogger(DeploymentService.class);
    private static final String OPERATOR = "deployment";
    private static final int ONLY_SLOT = 0;
    private static final long READ_LOG_INTERVAL_NANOS = 100_000_000;

    private LogService log;
    private EndpointRegistry endpoints;
    private KnownDataCenters dataCenters;
    private long lastReadLoggedNanos = EventLoop.nowNanos() - READ_LOG_INTERVAL_NANOS;
    private long unloggedReads;

    @Override
    public void start(Kernel kernel) {
        log = kernel.find(LogService.NAME, LogService.class);
        FleetService fleet = kernel.find(FleetService.NAME, FleetService.class);
        endpoints = new EndpointRegistry(log, fleet);
        dataCenters = fleet.dataCenters();
    }

    /**
     * Tells whether this process is the leader and holds its lease.
     *
     * @return true while it may serve requests
     */
    public boolean isLeader() {
        return log.isLeader();
    }

    /**
     * Returns the address at which the leader accepts connections from other processes.
     *
     * @return IP:PORT; empty when no leader is known
     */
    public String leader() {
        return log.leader();
    }

    /**
     * Replaces the configuration.
     *
     * @param desired the new configuration
     * @return completes once it is committed, or if an equal or higher version is in effect
     */
    public Future<Void> replaceConfiguration(DesiredConfiguration desired) {
        return log.propose(
                        OPERATOR, "", now -> new ConfigurationDiff(now, desired).computeChanges())
                .onSuccess(
                        version ->
                                LOG.infof(
                                        "configuration %d of %d bytes acknowledged: %s,"
                                                + " log version %d, term %d",
                                        desired.version(),
                                        desired.source().length,
                                        version == 0 ? "a newer one is in force" : "in force",
                                        version,
                                        log.state().term()))
                .onFailure(
                        failure ->
                                LOG.warnf(
                                        "configuration %d of %d bytes not acknowledged: %s",
                                        desired.version(),
                                        desired.source().length,
                                        failure.getMessage()))
                .mapEmpty();
    }

    /**
     * Returns the configuration in effect.
     *
     * @return the bytes as the operator sent them; empty before the first configuration
     * @throws ChivevaleException with NOT_LEADER when this process does not hold the leader lease
     */
    public byte[] newestConfiguration() {
        if (!log.isLeader()) {
            throw new ChivevaleException(ResultCode.NOT_LEADER, "the leader is " + log.leader());
        }
        logRead();
        return log.state().configuration().desired().getSource().toByteArray();
    }

    /** Writes a line for a read, but at most one in {@link #READ_LOG_INTERVAL_NANOS}. */
    private void logRead() {
        long now = EventLoop.nowNanos();
        if (now - lastReadLoggedNanos < READ_LOG_INTERVAL_NANOS) {
            unloggedReads++;
            return;
        }
        lastReadLoggedNanos = now;
        Configuration read = log.state().configuration();
        LOG.infof(
                "configuration %d read: log version %d, term %d, %d reads before without a line",
                read.desiredVersion(), read.version(), log.state().term(), unloggedReads);
        unloggedReads = 0;
    }

    /**
     * Adds data centres that the adapter's settings list, so that orders may name them.
     *
     * @param names the data centres
     */
    public void addDataCenters(Collection<String> names) {
        dataCenters.add(names);
    }

    /**
     * Orders that no new work goes to the endpoints of a data centre.
     *
     * @param dataCenter the data centre
     * @return completes once the order is committed, at once if it is in force; fails with
     *     INTENT_INVALID for an unknown data centre
     */
    public Future<Void> evacuate(String dataCenter) {
        return order(
                "evacuation of " + dataCenter,
                now -> {
                    dataCenters.require(dataCenter, now);
                    return EvacuationChanges.evacuate(
                            now, dataCenter, OPERATOR, System.currentTimeMillis());
                });
    }

    /**
     * Withdraws the order to evacuate a data centre.
     *
     * @param dataCenter the data centre
     * @return completes once the withdrawal is committed, at once if no evacuation is in force;
     *     fails with INTENT_INVALID for an unknown data centre
     */
    public Future<Void> restore(String dataCenter) {
        return order(
                "end of the evacuation of " + dataCenter,
                now -> {
                    dataCenters.require(dataCenter, now);
                    return EvacuationChanges.restore(now, dataCenter);
                });
    }

    private Future<Void> order(String what, LogService.ChangeBuilder changes) {
        return log.propose(OPERATOR, "", changes)
                .onSuccess(
                        version ->
                                LOG.infof(
                                        "%s: %s",
                                        what,
                                        version == 0 ? "already in force" : "version " + version))
                .onFailure(failure -> LOG.warnf("%s not taken: %s", what, failure.getMessage()))
                .mapEmpty();
    }

    /**
     * Registers an endpoint or updates its registration.
     *
     * @param announced the endpoint's announcement
     * @return completes once the resulting change is committed, at once if there is none
     * @throws ChivevaleException with ANNOUNCEMENT_INVALID for a database that is not configured
     */
    public Future<Void> announce(EndpointAnnouncement announced) {
        Configuration now = log.state().configuration();
        if (now.desiredVersion() == 0) {
            throw new ChivevaleException(ResultCode.NOT_LEADER, "no configuration yet");
        }
        Database database = now.database(announced.database());
        if (database == null) {
            throw new ChivevaleException(
                    ResultCode.ANNOUNCEMENT_INVALID,
                    "database '" + announced.database() + "' does not exist");
        }
        InstanceAnnouncement instance =
                new InstanceAnnouncement(
                        announced.endpoint(),
                        new GroupId(announced.database(), ONLY_SLOT),
                        announced.address(),
                        announced.region(),
                        announced.dataCenter(),
                        announced.startedUnixMillis(),
                        announced.primary(),
                        0,
                        "",
                        database.connectionLimit(),
                        announced.shuttingDown(),
                        true,
                        announced.warmupLeftMillis() > 0 && database.warmupRatePerSecond() > 0);
        return endpoints.announce(instance, announced.sequence());
    }

    /**
     * Deregisters an endpoint that has shut down.
     *
     * @param endpoint the endpoint
     * @param incarnation the incarnation that has shut down; empty if its sender does not say
     * @return completes once the removal is committed
     */
    public Future<Void> deregister(EndpointId endpoint, OptionalLong incarnation) {
        return endpoints.deregister(endpoint, incarnation.orElse(EndpointRegistry.ANY_INCARNATION));
    }
}
