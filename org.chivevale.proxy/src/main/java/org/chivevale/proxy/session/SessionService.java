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
import org.chivevale.proxy.internal.rate.RateGate;
import org.chivevale.proxy.internal.session.SessionCalls;
import org.chivevale.proxy.internal.session.SessionEngine;
import org.chivevale.proxy.internal.session.SessionPools;
import org.jboss.logging.Logger;

/**
 * All callers' sessions of a proxy.
 *
 * <p>Invariant: while the process leaves, a session is closed only between its operations, but for
 * transactions that rest beyond their time. Used on the event loop.
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
    private static final int LINES_PER_SECOND = 250;
    private static final long POLL_MILLIS = 20;

    private final ProxySettings settings;
    private final Directory directory;
    private final SessionPools pools;
    private final Set<CallerSession> sessions = new HashSet<>();
    private final DecisionLog decisions = new DecisionLog(LOG, LINES_PER_SECOND);
    private EventLoop loop;
    private RateGate rates;
    private SessionEngine engine;
    private MeterRegistry registry;
    private final Deque<Opening> openings = new ArrayDeque<>();
    private long leasedNanos;
    private boolean everLeased;
    private volatile boolean leaving;
    private volatile boolean closing;
    private volatile int open;

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     * @param directory what is known of the fleet
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
        rates = kernel.find(RateGate.NAME, RateGate.class);
        registry = kernel.find(Metrics.NAME, Metrics.class).registry();
        registry.gauge("chivevale.proxy.sessions", this, self -> self.open);
        engine = SessionEngine.create(loop, settings, directory, pools);
        ControlLink link = kernel.find(ControlLink.NAME, ControlLink.class);
        loop.runAndWait(() -> link.add(engine::awaitsPrimary));
        loop.every(TICK_MILLIS, this::tick);
    }

    private record Opening(long untilNanos, Runnable action) {}

    private void tick() {
        long now = EventLoop.nowNanos();
        if (directory.leased(now)) {
            leasedNanos = now;
            everLeased = true;
        }
        serveOpenings(now);
        engine.tick();
        long idleNanos =
                directory.configuration().sessionLimits().transactionIdleMillis() * NANOS_PER_MILLI;
        for (CallerSession session : new ArrayList<>(sessions)) {
            session.tick(now, idleNanos);
        }
    }

    /**
     * Opens a session.
     *
     * @param port the caller's side
     * @return the session
     */
    public CallerSession open(CallerPort port) {
        CallerSession session = new CallerSession(this, port);
        sessions.add(session);
        open = sessions.size();
        return session;
    }

    void ended(CallerSession session) {
        sessions.remove(session);
        open = sessions.size();
    }

    /**
     * Tells whether new callers should come.
     *
     * @return false before the first lease, some time after the last one, and while leaving
     */
    public boolean ready() {
        boolean fresh = everLeased && EventLoop.nowNanos() - leasedNanos < LEASE_GRACE_NANOS;
        return !leaving && fresh && directory.configuration().desiredVersion() > 0;
    }

    /** Runs an action at once, or, before the process's first lease, when that has come. */
    void whenLeased(Runnable action) {
        if (everLeased || leased()) {
            action.run();
        } else {
            long waitNanos = settings.timing().firstLeaseWaitMillis() * NANOS_PER_MILLI;
            openings.addLast(new Opening(EventLoop.nowNanos() + waitNanos, action));
        }
    }

    private void serveOpenings(long nowNanos) {
        while (!openings.isEmpty()
                && (everLeased || nowNanos - openings.peekFirst().untilNanos() >= 0)) {
            openings.removeFirst().action().run();
        }
    }

    boolean leased() {
        return directory.leased(EventLoop.nowNanos());
    }

    boolean closing() {
        return closing;
    }

    Configuration configuration() {
        return directory.configuration();
    }

    SessionEngine engine() {
        return engine;
    }

    /** Spends a token of the account's rate; {@code then} gets null, or why there is none. */
    void admit(ClientAccountId account, Route route, Consumer<String> then) {
        if (configuration().account(account) == null) {
            then.accept(null);
            return;
        }
        long deadline = EventLoop.nowNanos() + route.statementTimeoutMillis() * NANOS_PER_MILLI / 2;
        rates.admit(account, deadline)
                .onComplete(
                        ended ->
                                then.accept(ended.succeeded() ? null : ended.cause().getMessage()));
    }

    /** Logs a request that never reached an endpoint; the key itself is not logged. */
    void refused(String id, String host, String key, SessionError error, String detail) {
        registry.counter("chivevale.proxy.session.refused", "error", error.name()).increment();
        StoredKey stored = configuration().findOpaque(key);
        decisions.log(
                EventLoop.nowNanos(),
                "refused id=%s database=%s account=%s config=%d leased=%s outcome=%s %s",
                id,
                host,
                stored == null ? "unknown" : stored.account(),
                configuration().desiredVersion(),
                leased(),
                error,
                detail);
    }

    void decided(
            String id,
            String host,
            ClientAccountId account,
            Route route,
            Statement statement,
            SessionCalls.Result result) {
        String outcome = result.error() == null ? "done" : result.error().name();
        Timer.builder("chivevale.proxy.statement")
                .tag("policy", route.readPolicy().name())
                .tag("outcome", outcome)
                .serviceLevelObjectives(LATENCY_BUCKETS)
                .register(registry)
                .record(result.tookMicros(), TimeUnit.MICROSECONDS);
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
                result.since(),
                result.position(),
                result.tries(),
                result.tookMicros(),
                outcome,
                result.detail());
    }

    @Override
    public void drain() {
        leaving = true;
        LOG.infof("leaving: %d sessions open", open);
        ProcessLifetime.pause(settings.timing().drainNoticeMillis());
        closing = true;
        loop.runAndWait(() -> copy().forEach(CallerSession::closeWhenResting));
        long startNanos = EventLoop.nowNanos();
        boolean transactionsTold = false;
        while (open > 0 && sinceMillis(startNanos) < settings.timing().drainMillis()) {
            if (!transactionsTold
                    && sinceMillis(startNanos) > settings.timing().drainMillis() / 3) {
                transactionsTold = true;
                loop.runAndWait(() -> copy().forEach(CallerSession::closeInTransaction));
            }
            ProcessLifetime.pause(POLL_MILLIS);
        }
        LOG.infof("left with %d sessions open", open);
    }

    private List<CallerSession> copy() {
        return new ArrayList<>(sessions);
    }

    private static long sinceMillis(long startNanos) {
        return (EventLoop.nowNanos() - startNanos) / NANOS_PER_MILLI;
    }
}
