package org.chivevale.proxy;

import com.github.rvesse.airline.annotations.Command;
import java.nio.file.Path;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Main;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.internal.fleet.ControlLink;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.fleet.MemberScope;
import org.chivevale.proxy.internal.health.Prober;
import org.chivevale.proxy.internal.http.CallerHttpService;
import org.chivevale.proxy.internal.pool.PoolService;
import org.chivevale.proxy.internal.rate.RateLimiter;
import org.chivevale.proxy.internal.request.ExecutionService;
import org.chivevale.proxy.internal.request.GroupPositionHistories;
import org.chivevale.proxy.internal.transaction.ForwardService;
import org.chivevale.proxy.internal.transaction.TransactionService;

/**
 * The process of a proxy that serves callers over HTTP and runs their statements at endpoints.
 *
 * <p>Used by the main thread only.
 */
@Command(name = "chivevale-proxy", description = "Proxy between callers and databases")
public final class ProxyMain extends Main {
    /**
     * Starts the proxy and runs until the process is stopped.
     *
     * @param args the command line; see {@code --help}
     */
    public static void main(String[] args) {
        run(ProxyMain.class, ProxyMain::new, args);
    }

    @Override
    protected Kernel kernel(Path settingsFile) {
        ProxySettings settings = ProxySettings.read(settingsFile);
        Directory directory = new Directory(settings);
        GroupPositionHistories histories = new GroupPositionHistories();
        PoolService pools = new PoolService(settings, directory);
        TransactionService transactions = new TransactionService(settings, directory);
        return new Kernel()
                .register(EventLoop.NAME, new EventLoop())
                .register(Metrics.NAME, new Metrics())
                .register(
                        ControlLink.NAME,
                        new ControlLink(settings, directory, MemberScope.ENDPOINTS_AND_PROXIES),
                        EventLoop.NAME,
                        Metrics.NAME)
                .register(PoolService.NAME, pools, ControlLink.NAME)
                .register(RateLimiter.NAME, new RateLimiter(settings, directory), ControlLink.NAME)
                .register(
                        Prober.NAME,
                        new Prober(settings, directory, pools, histories),
                        PoolService.NAME)
                .register(
                        ExecutionService.NAME,
                        new ExecutionService(settings, directory, pools, histories),
                        PoolService.NAME)
                .register(TransactionService.NAME, transactions, ExecutionService.NAME)
                .register(
                        ForwardService.NAME,
                        new ForwardService(settings, directory, transactions),
                        TransactionService.NAME)
                .register(
                        CallerHttpService.NAME,
                        new CallerHttpService(settings, directory),
                        ForwardService.NAME,
                        RateLimiter.NAME);
    }
}
