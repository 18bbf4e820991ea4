package org.chivevale.control.deployment;

import io.vertx.core.Future;
import org.chivevale.control.internal.fleet.EndpointRegistry;
import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.ConfigurationDiff;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.DesiredConfiguration;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.jboss.logging.Logger;

/**
 * Lets an adapter replace the whole configuration, read it back, and announce endpoints.
 *
 * <p>Invariants: a configuration counts once it is agreed; the highest version wins, and a lower or
 * equal one changes nothing; only a leader that holds its lease answers. Used on the event loop.
 */
public final class DeploymentService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "deployment";

    private static final Logger LOG = Logger.getLogger(DeploymentService.class);
    private static final String OPERATOR = "deployment";
    private static final int ONLY_SLOT = 0;

    private LogService log;
    private EndpointRegistry endpoints;

    @Override
    public void start(Kernel kernel) {
        log = kernel.find(LogService.NAME, LogService.class);
        endpoints = new EndpointRegistry(log, kernel.find(FleetService.NAME, FleetService.class));
    }

    /**
     * Tells whether this process may decide now.
     *
     * @return true while it leads
     */
    public boolean leading() {
        return log.leading();
    }

    /**
     * Returns where the leader takes connections of other processes.
     *
     * @return IP:PORT, or an empty text when there is none
     */
    public String leader() {
        return log.leader();
    }

    /**
     * Replaces the configuration.
     *
     * @param desired what the operator wants
     * @return completes once it is agreed, or a higher version is in force
     */
    public Future<Void> replace(DesiredConfiguration desired) {
        return log.propose(
                        OPERATOR, "", now -> new ConfigurationDiff(now, desired).computeChanges())
                .onSuccess(
                        version ->
                                LOG.infof(
                                        "configuration %d taken: %s, log version %d",
                                        desired.version(),
                                        version == 0 ? "a newer one is in force" : "in force",
                                        version))
                .onFailure(
                        failure ->
                                LOG.warnf(
                                        "configuration %d not taken: %s",
                                        desired.version(), failure.getMessage()))
                .mapEmpty();
    }

    /**
     * Returns the newest configuration.
     *
     * @return as its operator sent it
     * @throws ChivevaleException with NOT_LEADER when this process cannot be sure
     */
    public byte[] newest() {
        if (!log.leading()) {
            throw new ChivevaleException(ResultCode.NOT_LEADER, "the leader is " + log.leader());
        }
        return log.state().configuration().desired().getSource().toByteArray();
    }

    /**
     * Takes what an endpoint says of itself.
     *
     * @param announced the announcement
     * @return completes once what it changes is agreed
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
                    "there is no database '" + announced.database() + "'");
        }
        InstanceAnnouncement instance =
                new InstanceAnnouncement(
                        announced.endpoint(),
                        new GroupId(announced.database(), ONLY_SLOT),
                        announced.address(),
                        announced.region(),
                        announced.dataCenter(),
                        announced.bornUnixMillis(),
                        announced.primary(),
                        0,
                        "",
                        database.connectionLimit(),
                        announced.leaving(),
                        true);
        return endpoints.announce(instance, announced.sequence());
    }

    /**
     * Takes the end of an endpoint.
     *
     * @param endpoint the endpoint
     * @return completes once it is agreed
     */
    public Future<Void> leave(EndpointId endpoint) {
        return endpoints.leave(endpoint);
    }
}
