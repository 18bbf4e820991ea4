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
 * Registers the services that every control process has, whatever its callers speak.
 *
 * <p>Stateless and thread safe.
 */
public final class ControlKernel {
    private ControlKernel() {}

    /**
     * Registers the services.
     *
     * @param settings the process's settings
     * @param settingsFile where they were read, for later changes
     * @param connectors opens connections to members of groups
     * @param policy decides failovers
     * @return a kernel to which services for callers are added
     */
    public static Kernel create(
            ControlSettings settings,
            Path settingsFile,
            MemberConnectors connectors,
            FailoverPolicy policy) {
        LogService log = new LogService(settings);
        return new Kernel()
                .register(EventLoop.NAME, new EventLoop())
                .register(Metrics.NAME, new Metrics())
                .register(LogService.NAME, log, EventLoop.NAME)
                .register(
                        SettingsWatch.NAME,
                        new SettingsWatch(
                                settingsFile, changed -> log.reseed(ControlSettings.read(changed))),
                        LogService.NAME)
                .register(
                        FleetService.NAME,
                        new FleetService(settings),
                        LogService.NAME,
                        Metrics.NAME)
                .register(
                        FailoverService.NAME,
                        new FailoverService(connectors, policy),
                        FleetService.NAME)
                .register(IntentService.NAME, new IntentService(), LogService.NAME)
                .register(DeploymentService.NAME, new DeploymentService(), FleetService.NAME);
    }
}
