package org.chivevale.control;

import java.nio.file.Path;
import org.chivevale.control.deployment.DeploymentService;
import org.chivevale.control.internal.failover.FailoverService;
import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.intent.IntentService;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.failover.FailoverPolicy;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.process.SettingsWatch;

/**
 * Registers the services that every control process runs, independent of its client APIs.
 *
 * <p>Stateless and thread safe.
 */
public final class ControlKernel {
    private ControlKernel() {}

    /**
     * Registers the services.
     *
     * @param settings the process's settings
     * @param settingsFile the file that they were read from, watched for changes
     * @param connectorFactory creates the connector to members of database groups
     * @param policy decides the steps of failovers
     * @return a kernel to which the caller adds the services of its APIs
     */
    public static Kernel create(
            ControlSettings settings,
            Path settingsFile,
            MemberConnectorFactory connectorFactory,
            FailoverPolicy policy) {
        LogService log = new LogService(settings);
        return new Kernel()
                .register(EventLoop.NAME, new EventLoop())
                .register(Metrics.NAME, new Metrics())
                .register(LogService.NAME, log, EventLoop.NAME)
                .register(
                        SettingsWatch.NAME,
                        new SettingsWatch(
                                settingsFile,
                                changed -> log.updateSeeds(ControlSettings.reread(changed))),
                        LogService.NAME)
                .register(
                        FleetService.NAME,
                        new FleetService(settings),
                        LogService.NAME,
                        Metrics.NAME)
                .register(
                        FailoverService.NAME,
                        new FailoverService(connectorFactory, policy),
                        FleetService.NAME)
                .register(IntentService.NAME, new IntentService(), FleetService.NAME)
                .register(DeploymentService.NAME, new DeploymentService(), FleetService.NAME);
    }
}
