package org.chivevale.process;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.internal.ContextInternal;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ListenErrors;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.HostPort;
import org.jboss.logging.Logger;

/**
 * The single event loop on which a process runs its decision logic.
 *
 * <p>Invariant: all actions passed to {@link #run} and all timers run on the same thread, so
 * classes confined to it need no locks. Thread safe.
 */
public final class EventLoop implements Service {
    /** Service name in the kernel. */
    public static final String NAME = "event-loop";

    private static final Logger LOG = Logger.getLogger(EventLoop.class);
    private static final int STOP_TIMEOUT_SECONDS = 5;
    private static final long BLOCKED_CHECK_MILLIS = 10_000;

    /** Pause after a run that failed, and longest pause of a service that has nothing to do. */
    public static final long LONGEST_PAUSE_MILLIS = 100;

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
                                .setFileSystemOptions(
                                        new FileSystemOptions()
                                                .setFileCachingEnabled(false)
                                                .setClassPathResolvingEnabled(false))
                                .setBlockedThreadCheckInterval(BLOCKED_CHECK_MILLIS));
        context = vertx.getOrCreateContext();
        context.exceptionHandler(
                failure -> LOG.error("unexpected failure on the event loop", failure));
    }

    /**
     * Returns the Vert.x instance of this process.
     *
     * @return the instance; null before {@link #start}
     */
    public Vertx vertx() {
        return vertx;
    }

    /** Returns the Netty event loop on which the actions run. */
    io.netty.channel.EventLoop nettyLoop() {
        return ((ContextInternal) context).nettyEventLoop();
    }

    /**
     * Runs an action for an event of Netty on this event loop; logs what it throws.
     *
     * @param action must not block
     */
    public void dispatch(Runnable action) {
        ((ContextInternal) context).emit(ignored -> action.run());
    }

    /**
     * Serves HTTP on the event loop; fails when the address cannot be bound.
     *
     * @param listen address to bind
     * @param handler responds to the requests
     * @return the server, which accepts connections
     */
    public HttpServer serveHttp(HostPort listen, Handler<HttpServerRequest> handler) {
        return listen(listen, () -> bindHttp(listen, handler));
    }

    /**
     * Serves HTTP on the event loop, without waiting for it.
     *
     * @param listen address to bind
     * @param handler responds to the requests
     * @return the server once it accepts connections
     */
    public Future<HttpServer> bindHttp(HostPort listen, Handler<HttpServerRequest> handler) {
        HttpServerOptions options =
                new HttpServerOptions().setHost(listen.host()).setPort(listen.port());
        return vertx.createHttpServer(options).requestHandler(handler).listen();
    }

    /**
     * Opens a listener and waits until it accepts connections; must not be called on the event
     * loop.
     *
     * @param address the address that it binds
     * @param bind opens it on the event loop
     * @param <T> the type of the server
     * @return the server
     * @throws ChivevaleException with {@link ResultCode#ADDRESS_UNAVAILABLE} when it cannot bind
     */
    public <T> T listen(HostPort address, Supplier<Future<T>> bind) {
        try {
            return runAndAwait(bind);
        } catch (CompletionException e) {
            throw ListenErrors.cannotListen(address, e.getCause());
        }
    }

    /**
     * Stops an HTTP server: it accepts no more connections, and requests in progress may end.
     *
     * @param server the server
     * @param graceMillis maximum time for the requests in progress
     */
    public void shutdown(HttpServer server, long graceMillis) {
        try {
            runAndAwait(() -> server.shutdown(graceMillis, TimeUnit.MILLISECONDS));
        } catch (CompletionException e) {
            LOG.warnf("cannot shut down the server on port %d: %s", server.actualPort(), e);
        }
    }

    /** Starts an operation on the event loop and waits for its result. */
    private <T> T runAndAwait(Supplier<Future<T>> operation) {
        CompletableFuture<T> done = new CompletableFuture<>();
        runAndWait(
                () ->
                        operation
                                .get()
                                .onSuccess(done::complete)
                                .onFailure(done::completeExceptionally));
        return done.join();
    }

    /**
     * Schedules an action on the event loop.
     *
     * @param action runs later, also when the caller is on the event loop
     */
    public void run(Runnable action) {
        context.runOnContext(ignored -> action.run());
    }

    /**
     * Runs an action on the event loop and waits for it; must not be called on the event loop.
     *
     * @param action must not block; an exception or error that it throws is rethrown here
     */
    public void runAndWait(Runnable action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        run(
                () -> {
                    try {
                        action.run();
                        done.complete(null);
                    } catch (RuntimeException | Error e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            done.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof RuntimeException failure) {
                throw failure;
            }
            if (e.getCause() instanceof Error error) {
                throw error;
            }
            throw e;
        }
    }

    /**
     * Runs an action periodically on the event loop.
     *
     * @param periodMillis time between two runs
     * @param action must not block
     */
    public void every(long periodMillis, Runnable action) {
        run(() -> vertx.setPeriodic(periodMillis, ignored -> action.run()));
    }

    /**
     * Runs an action again and again on the event loop, after the pause that each run returns.
     *
     * @param action must not block; returns the milliseconds until its next run, at least 1
     */
    public void repeat(LongSupplier action) {
        run(() -> runAndReschedule(action));
    }

    private void runAndReschedule(LongSupplier action) {
        long pauseMillis = LONGEST_PAUSE_MILLIS;
        try {
            pauseMillis = action.getAsLong();
        } finally {
            vertx.setTimer(pauseMillis, ignored -> runAndReschedule(action));
        }
    }

    /**
     * Returns the time of {@link BootClock}.
     *
     * @return nanoseconds since an arbitrary start
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
                    .get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warnf("event loop did not close: %s", e);
        }
    }
}
