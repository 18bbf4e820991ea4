package org.chivevale.process;

import io.vertx.core.http.HttpServerRequest;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.HostPort;

/**
 * Serves the process's counters and histograms in Prometheus' text format.
 *
 * <p>Used on the event loop.
 */
public final class MetricsServer implements Service {
    /** Name in the kernel. */
    public static final String NAME = "metrics-server";

    private static final String PATH = "/metrics";
    private static final int NOT_FOUND = 404;

    private final HostPort listen;
    private Metrics metrics;

    /**
     * Creates the service.
     *
     * @param listen where it is asked
     */
    public MetricsServer(HostPort listen) {
        this.listen = listen;
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        metrics = kernel.find(Metrics.NAME, Metrics.class);
        loop.serveHttp(listen, this::answer);
    }

    private void answer(HttpServerRequest request) {
        if (request.path().equals(PATH)) {
            request.response().end(metrics.scrape());
        } else {
            request.response().setStatusCode(NOT_FOUND).end();
        }
    }
}
