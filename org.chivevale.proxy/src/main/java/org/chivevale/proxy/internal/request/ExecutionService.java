package org.chivevale.proxy.internal.request;

import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.ControlLink;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.pool.PoolService;

/**
 * Makes what runs requests, and counts them.
 *
 * <p>Used on the event loop.
 */
public final class ExecutionService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "execution";

    private final ProxySettings settings;
    private final Directory directory;
    private final PoolService pools;
    private final GroupHistories histories;
    private InteractiveSteps steps;
    private UsageCounters usage;

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     * @param directory knows lease, configuration and members
     * @param pools hands out connections
     * @param histories remember primaries' positions
     */
    public ExecutionService(
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
        RequestContext context =
                new RequestContext(settings, directory, pools, histories, loop.vertx());
        steps = new InteractiveSteps(context);
        usage = new UsageCounters(kernel.find(Metrics.NAME, Metrics.class).registry());
        ControlLink link = kernel.find(ControlLink.NAME, ControlLink.class);
        loop.runAndWait(() -> link.addRenewalParticipant(usage));
    }

    /**
     * Returns what runs requests.
     *
     * @return the steps
     */
    public InteractiveSteps steps() {
        return steps;
    }

    /**
     * Returns what counts answers.
     *
     * @return the counters
     */
    public UsageCounters usage() {
        return usage;
    }
}
