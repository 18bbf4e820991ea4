package org.chivevale.control;

import org.chivevale.control.deployment.DeploymentService;
import org.chivevale.control.internal.failover.FailoverService;
import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.intent.IntentService;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.failover.FailoverPolicy;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;

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
     * @param connectors opens connections to members of groups
     * @param policy decides failovers
     * @return a kernel to which services for callers are added
     */
    public static Kernel create(
            ControlSettings settings, MemberConnectors connectors, FailoverPolicy policy) {
        return new Kernel()
                .register(EventLoop.NAME, new EventLoop())
                .register(Metrics.NAME, new Metrics())
                .register(LogService.NAME, new LogService(settings), EventLoop.NAME)
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
