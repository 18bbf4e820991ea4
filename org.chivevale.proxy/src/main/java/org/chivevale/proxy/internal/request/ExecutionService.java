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
 * Provides the executor of requests and the counters of their results.
 *
 * <p>Used on the event loop.
 */
public final class ExecutionService implements Service {
    /** Service name in the kernel. */
    public static final String NAME = "execution";

    private final ProxySettings settings;
    private final Directory directory;
    private final PoolService pools;
    private final GroupPositionHistories histories;
    private RequestExecutor executor;
    private UsageCounters usage;

    /**
     * Prepares the service; executor and counters exist after {@link #start}.
     *
     * @param settings the process's settings
     * @param directory the lease, the configuration and the members
     * @param pools the connection pools of the endpoints
     * @param histories the sampled positions of the primaries
     */
    public ExecutionService(
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
        RequestContext context =
                new RequestContext(settings, directory, pools, histories, loop.vertx());
        executor = new RequestExecutor(context);
        usage = new UsageCounters(kernel.find(Metrics.NAME, Metrics.class).registry());
        ControlLink link = kernel.find(ControlLink.NAME, ControlLink.class);
        loop.runAndWait(() -> link.addRenewalParticipant(usage));
    }

    /**
     * Returns the executor of requests.
     *
     * @return the executor; null before {@link #start}
     */
    public RequestExecutor executor() {
        return executor;
    }

    /**
     * Returns the counters of request results.
     *
     * @return the counters; null before {@link #start}
     */
    public UsageCounters usage() {
        return usage;
    }
}
