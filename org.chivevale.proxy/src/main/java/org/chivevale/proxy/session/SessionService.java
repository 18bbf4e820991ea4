package org.chivevale.proxy.session;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Route;
import org.chivevale.core.config.StoredKey;
import org.chivevale.core.interactive.SessionError;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.ProcessLifetime;
import org.chivevale.core.kernel.Service;
import org.chivevale.process.DecisionLog;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.ControlLink;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.rate.RateLimiter;
import org.chivevale.proxy.internal.rate.WarmupGate;
import org.chivevale.proxy.internal.session.OpenTransaction;
import org.chivevale.proxy.internal.session.SessionEngine;
import org.chivevale.proxy.internal.session.SessionPools;
import org.chivevale.proxy.internal.session.StatementExecutor;
import org.jboss.logging.Logger;

/**
 * Manages the callers' sessions of a proxy.
 *
 * <p>Invariant: while the process drains, a session is closed only between its operations; idle
 * transactions are rolled back after a third of the drain time. Used on the event loop.
 */
public final class SessionService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "sessions";

    private static final Logger LOG = Logger.getLogger(SessionService.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 25;
    private static final long LEASE_GRACE_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofMillis(1000),
        Duration.ofMillis(2000)
    };
    private static final int MAX_LOG_LINES_PER_SECOND = 250;
    private static final long POLL_MILLIS = 20;

    private final ProxySettings settings;
    private final Directory directory;
    private final SessionPools pools;
    private final Set<CallerSession> sessions = new HashSet<>();
    private final DecisionLog decisions = new DecisionLog(LOG, MAX_LOG_LINES_PER_SECOND);
    private EventLoop loop;
    private RateLimiter rateLimiter;
    private SessionEngine engine;
    private MeterRegistry registry;
    private final Deque<Runnable> pendingOpens = new ArrayDeque<>();
    private long firstLeaseDeadlineNanos;
    private long lastLeasedNanos;
    private boolean everLeased;
    private volatile boolean isDraining;
    private volatile boolean isClosing;
    private volatile int openSessions;

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     * @param directory lease, configuration and members
     * @param pools connections to endpoints
     */
    public SessionService(ProxySettings settings, Directory directory, SessionPools pools) {
        this.settings = settings;
        this.directory = directory;
        this.pools = pools;
    }

    @Override
    public void start(Kernel kernel) {
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        rateLimiter = kernel.find(RateLimiter.NAME, RateLimiter.class);
        registry = kernel.find(Metrics.NAME, Metrics.class).registry();
        registry.gauge("chivevale.proxy.sessions", this, self -> self.openSessions);
        ControlLink link = kernel.find(ControlLink.NAME, ControlLink.class);
        WarmupGate warmup = new WarmupGate(loop, directory, link, registry);
        engine = SessionEngine.create(loop, settings, directory, pools, warmup);
        firstLeaseDeadlineNanos =
                EventLoop.nowNanos() + settings.timing().firstLeaseWaitMillis() * NANOS_PER_MILLI;
        loop.runAndWait(
                () -> {
                    link.addFenceParticipant(engine::hasInFlightAtPrimary);
                    warmup.start(engine::resumeByUrgency);
                });
        loop.repeat(this::tick);
    }

    /** Checks sessions and statements; seldom while no statement runs and no session waits. */
    private long tick() {
        long now = EventLoop.nowNanos();
        if (directory.isLeased(now)) {
            lastLeasedNanos = now;
            everLeased = true;
        }
        runPendingOpens(now);
        engine.tick();
        long idleNanos =
                directory.configuration().sessionLimits().transactionIdleMillis() * NANOS_PER_MILLI;
        for (CallerSession session : new ArrayList<>(sessions)) {
            session.tick(now, idleNanos);
        }
        boolean isBusy = engine.isBusy() || !pendingOpens.isEmpty() || !everLeased;
        return isBusy ? TICK_MILLIS : EventLoop.LONGEST_PAUSE_MILLIS;
    }

    /**
     * Registers a session for a new connection.
     *
     * @param connection the connection to the caller
     * @return the session, to be opened with {@link CallerSession#open}
     */
    public CallerSession open(CallerConnection connection) {
        CallerSession session = new CallerSession(this, connection);
        sessions.add(session);
        openSessions = sessions.size();
        return session;
    }

    void onEnded(CallerSession session) {
        sessions.remove(session);
        openSessions = sessions.size();
    }

    /**
     * Returns whether the proxy is ready for new callers.
     *
     * @return false before the first lease, once the lease has been lost for {@link
     *     #LEASE_GRACE_NANOS}, and while draining
     */
    public boolean isReady() {
        boolean recentlyLeased =
                everLeased && EventLoop.nowNanos() - lastLeasedNanos < LEASE_GRACE_NANOS;
        return !isDraining && recentlyLeased && directory.configuration().desiredVersion() > 0;
    }

    /**
     * Runs an action at once; for some time after the start, once the first lease is granted.
     *
     * <p>A proxy that has been up for longer without a lease does not let its callers wait.
     */
    void runWhenLeased(Runnable action) {
        boolean mayWait = EventLoop.nowNanos() - firstLeaseDeadlineNanos < 0;
        if (everLeased || isLeased() || !mayWait) {
            action.run();
        } else {
            pendingOpens.addLast(action);
        }
    }

    private void runPendingOpens(long nowNanos) {
        boolean mayWait = !everLeased && nowNanos - firstLeaseDeadlineNanos < 0;
        while (!mayWait && !pendingOpens.isEmpty()) {
            pendingOpens.removeFirst().run();
        }
    }

    boolean isLeased() {
        return directory.isLeased(EventLoop.nowNanos());
    }

    boolean isClosing() {
        return isClosing;
    }

    Configuration configuration() {
        return directory.configuration();
    }

    /**
     * Returns the engine that executes statements.
     *
     * @return the engine, to be used on the event loop; null before the start
     */
    public SessionEngine engine() {
        return engine;
    }

    /**
     * Spends a token of the account's rate; {@code callback} receives null, or why it was rejected.
     *
     * <p>While the account is above its rate, waits for half of the latency objective: a caller
     * that is rejected by then can still be served in time by another proxy.
     */
    void spendToken(ClientAccountId account, Route route, Consumer<String> callback) {
        if (configuration().account(account) == null) {
            callback.accept(null);
            return;
        }
        long now = EventLoop.nowNanos();
        long waitEndNanos = now + route.latencyObjectiveMillis() * NANOS_PER_MILLI / 2;
        long deadlineNanos = now + route.statementTimeoutMillis() * NANOS_PER_MILLI / 2;
        rateLimiter
                .admit(account, waitEndNanos, deadlineNanos)
                .onComplete(
                        result ->
                                callback.accept(
                                        result.succeeded() ? null : result.cause().getMessage()));
    }

    /** Logs a request that was rejected before it reached an endpoint; the key is not logged. */
    void logRejected(String id, String host, String key, SessionError error, String detail) {
        registry.counter("chivevale.proxy.session.refused", "error", error.name()).increment();
        StoredKey stored = configuration().findOpaqueKey(key);
        decisions.log(
                EventLoop.nowNanos(),
                "refused id=%s database=%s account=%s config=%d leased=%s outcome=%s %s",
                id,
                host,
                stored == null ? "unknown" : stored.account(),
                configuration().desiredVersion(),
                isLeased(),
                error,
                detail);
    }

    /** Logs a transaction that the proxy has rolled back; an empty reason says that it has not. */
    void logRolledBack(String host, OpenTransaction transaction, String reason) {
        if (!reason.isEmpty()) {
            registry.counter("chivevale.proxy.transactions.ended.early").increment();
            decisions.log(
                    EventLoop.nowNanos(),
                    "transaction rolled back database=%s account=%s %s",
                    host,
                    transaction.accountId(),
                    reason);
        }
    }

    void recordResult(
            String id,
            String host,
            ClientAccountId account,
            Route route,
            Statement statement,
            StatementExecutor.Result result) {
        String outcome = result.error() == null ? "done" : result.error().name();
        Timer.builder("chivevale.proxy.statement")
                .tag("policy", route.readPolicy().name())
                .tag("outcome", outcome)
                .serviceLevelObjectives(LATENCY_BUCKETS)
                .register(registry)
                .record(result.durationMicros(), TimeUnit.MICROSECONDS);
        decisions.log(
                EventLoop.nowNanos(),
                "statement id=%s database=%s account=%s kind=%s policy=%s config=%d endpoint=%s"
                        + " since=%s position=%s tries=%d micros=%d outcome=%s %s",
                id,
                host,
                account,
                statement.getClass().getSimpleName(),
                route.readPolicy(),
                configuration().desiredVersion(),
                result.endpoint(),
                result.requiredPosition(),
                result.position(),
                result.attempts(),
                result.durationMicros(),
                outcome,
                result.detail());
    }

    /**
     * Reports the proxy as not ready, and ends sessions between statements.
     *
     * <p>Callers that still come are served, one operation a session, since there may be no proxy
     * that is ready.
     */
    @Override
    public void drain() {
        isDraining = true;
        LOG.infof("draining: %d sessions open", openSessions);
        ProcessLifetime.pause(settings.timing().drainNoticeMillis());
        isClosing = true;
        loop.runAndWait(() -> copyOfSessions().forEach(CallerSession::closeWhenIdle));
        long startedAtNanos = EventLoop.nowNanos();
        boolean transactionsClosed = false;
        while (openSessions > 0
                && elapsedMillis(startedAtNanos) < settings.timing().drainMillis()) {
            if (!transactionsClosed
                    && elapsedMillis(startedAtNanos) > settings.timing().drainMillis() / 3) {
                transactionsClosed = true;
                loop.runAndWait(
                        () -> copyOfSessions().forEach(CallerSession::closeIdleTransaction));
            }
            ProcessLifetime.pause(POLL_MILLIS);
        }
        LOG.infof("drained: %d sessions still open", openSessions);
    }

    /**
     * Returns the number of open sessions.
     *
     * @return sessions of callers that are connected
     */
    public int openSessions() {
        return openSessions;
    }

    private List<CallerSession> copyOfSessions() {
        return new ArrayList<>(sessions);
    }

    private static long elapsedMillis(long startedAtNanos) {
        return (EventLoop.nowNanos() - startedAtNanos) / NANOS_PER_MILLI;
    }
}
