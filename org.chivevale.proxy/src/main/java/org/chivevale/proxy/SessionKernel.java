package org.chivevale.proxy;

import java.nio.file.Path;
import java.util.function.Function;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.database.session.SessionConnector;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.process.SettingsWatch;
import org.chivevale.proxy.internal.fleet.ControlLink;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.fleet.MemberScope;
import org.chivevale.proxy.internal.rate.RateLimiter;
import org.chivevale.proxy.internal.session.RelayService;
import org.chivevale.proxy.internal.session.SessionPools;
import org.chivevale.proxy.session.SessionService;

/**
 * Registers the services of a proxy that serves sessions over connections.
 *
 * <p>Stateless and thread safe.
 */
public final class SessionKernel {
    private SessionKernel() {}

    /**
     * Creates a kernel with the services.
     *
     * @param settings the process's settings
     * @param settingsFile the file of the settings, which is watched for changes
     * @param connectors creates the connector of the event loop, which opens connections
     * @return a kernel to which the protocol adapters for callers are added
     */
    public static Kernel create(
            ProxySettings settings,
            Path settingsFile,
            Function<EventLoop, SessionConnector> connectors) {
        Directory directory = new Directory(settings);
        ControlLink link = new ControlLink(settings, directory, MemberScope.ENDPOINTS);
        SessionPools pools = new SessionPools(settings, directory, connectors);
        return new Kernel()
                .register(EventLoop.NAME, new EventLoop())
                .register(Metrics.NAME, new Metrics())
                .register(ControlLink.NAME, link, EventLoop.NAME, Metrics.NAME)
                .register(
                        SettingsWatch.NAME,
                        new SettingsWatch(
                                settingsFile,
                                changed -> link.setSeeds(ProxySettings.reread(changed).control())),
                        ControlLink.NAME)
                .register(SessionPools.NAME, pools, ControlLink.NAME, Metrics.NAME)
                .register(RateLimiter.NAME, new RateLimiter(settings, directory), ControlLink.NAME)
                .register(
                        SessionService.NAME,
                        new SessionService(settings, directory, pools),
                        SessionPools.NAME,
                        RateLimiter.NAME)
                .register(
                        RelayService.NAME,
                        new RelayService(settings, directory, pools),
                        SessionService.NAME);
    }
}
