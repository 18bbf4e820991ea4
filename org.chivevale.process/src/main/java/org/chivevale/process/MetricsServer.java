package org.chivevale.process;

import io.vertx.core.http.HttpServerRequest;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.HostPort;
import org.jboss.logging.Logger;

/**
 * Serves the meters of the process over HTTP at {@code /metrics} in Prometheus' text format.
 *
 * <p>Invariant: an address that cannot be bound does not keep the process from its work; it is
 * tried again. Used on the event loop.
 */
public final class MetricsServer implements Service {
    /** Service name in the kernel. */
    public static final String NAME = "metrics-server";

    private static final String PATH = "/metrics";
    private static final int NOT_FOUND = 404;
    private static final long RETRY_MILLIS = 1_000;
    private static final Logger LOG = Logger.getLogger(MetricsServer.class);

    private final HostPort listen;
    private EventLoop loop;
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
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        metrics = kernel.find(Metrics.NAME, Metrics.class);
        try {
            loop.serveHttp(listen, this::handleRequest);
        } catch (ChivevaleException e) {
            LOG.warnf("metrics are not served yet: %s", e.getMessage());
            retryLater();
        }
    }

    private void retryLater() {
        loop.vertx()
                .setTimer(
                        RETRY_MILLIS,
                        ignored ->
                                loop.bindHttp(listen, this::handleRequest)
                                        .onFailure(failure -> retryLater()));
    }

    private void handleRequest(HttpServerRequest request) {
        if (request.path().equals(PATH)) {
            request.response().end(metrics.scrape());
        } else {
            request.response().setStatusCode(NOT_FOUND).end();
        }
    }
}
