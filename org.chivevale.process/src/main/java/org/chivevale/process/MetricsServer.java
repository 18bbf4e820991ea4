package org.chivevale.process;

import io.vertx.core.http.HttpServerRequest;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.HostPort;

/**
 * Serves the meters of the process over HTTP at {@code /metrics} in Prometheus' text format.
 *
 * <p>Used on the event loop.
 */
public final class MetricsServer implements Service {
    /** Service name in the kernel. */
    public static final String NAME = "metrics-server";

    private static final String PATH = "/metrics";
    private static final int NOT_FOUND = 404;

    private final HostPort listen;
    private Metrics metrics;

    /**
     * Prepares a server; it listens after {@link #start}.
     *
     * @param listen address to bind
     */
    public MetricsServer(HostPort listen) {
        this.listen = listen;
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        metrics = kernel.find(Metrics.NAME, Metrics.class);
        loop.serveHttp(listen, this::handleRequest);
    }

    private void handleRequest(HttpServerRequest request) {
        if (request.path().equals(PATH)) {
            request.response().end(metrics.scrape());
        } else {
            request.response().setStatusCode(NOT_FOUND).end();
        }
    }
}
