package org.chivevale.process;

import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.HostPort;
import org.jboss.logging.Logger;

/**
 * The one event loop on which a process takes its decisions.
 *
 * <p>Invariant: everything given to {@link #run} and to timers runs on the same thread, so decision
 * classes need no locks. Thread safe.
 */
public final class EventLoop implements Service {
    /** Name in the kernel. */
    public static final String NAME = "event-loop";

    private static final Logger LOG = Logger.getLogger(EventLoop.class);
    private static final int STOP_SECONDS = 5;
    private static final long BLOCKED_CHECK_MILLIS = 10_000;

    private Vertx vertx;
    private Context context;

    @Override
    public void start(Kernel kernel) {
        vertx =
                Vertx.vertx(
                        new VertxOptions()
                                .setEventLoopPoolSize(1)
                                .setWorkerPoolSize(1)
                                .setInternalBlockingPoolSize(1)
                                .setPreferNativeTransport(false)
                                .setBlockedThreadCheckInterval(BLOCKED_CHECK_MILLIS));
        context = vertx.getOrCreateContext();
        context.exceptionHandler(failure -> LOG.error("unexpected failure", failure));
    }

    /**
     * Returns Vert.x.
     *
     * @return the instance of this process
     */
    public Vertx vertx() {
        return vertx;
    }

    /**
     * Serves HTTP on the event loop; an address that cannot be used is logged.
     *
     * @param listen where requests come in
     * @param handler answers them
     */
    public void serveHttp(HostPort listen, Handler<HttpServerRequest> handler) {
        HttpServerOptions options =
                new HttpServerOptions().setHost(listen.host()).setPort(listen.port());
        runAndWait(
                () ->
                        vertx.createHttpServer(options)
                                .requestHandler(handler)
                                .listen()
                                .onFailure(
                                        failure ->
                                                LOG.errorf(
                                                        "cannot listen on %s: %s",
                                                        listen, failure)));
    }

    /**
     * Runs an action on the event loop.
     *
     * @param action what to run
     */
    public void run(Runnable action) {
        context.runOnContext(ignored -> action.run());
    }

    /**
     * Runs an action on the event loop and waits for it.
     *
     * @param action what to run; must not block
     */
    public void runAndWait(Runnable action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        run(
                () -> {
                    try {
                        action.run();
                        done.complete(null);
                    } catch (RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            done.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof RuntimeException failure) {
                throw failure;
            }
            throw e;
        }
    }

    /**
     * Runs an action again and again on the event loop.
     *
     * @param periodMillis time between two runs
     * @param action what to run
     */
    public void every(long periodMillis, Runnable action) {
        run(() -> vertx.setPeriodic(periodMillis, ignored -> action.run()));
    }

    /**
     * Returns the monotonic time.
     *
     * @return nanoseconds from an arbitrary start
     */
    public static long nowNanos() {
        return BootClock.nanos();
    }

    @Override
    public void stop() {
        try {
            vertx.close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(STOP_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warnf("event loop did not close: %s", e);
        }
    }
}
