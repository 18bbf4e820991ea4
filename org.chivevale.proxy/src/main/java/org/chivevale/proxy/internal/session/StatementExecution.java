package org.chivevale.proxy.internal.session;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Route;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.AttemptPolicy;
import org.chivevale.core.interactive.AttemptPolicy.Decision;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.SessionError;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.interactive.Statement.Prepared;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.process.EventLoop;

/**
 * Executes one statement at an endpoint and retries it, there or at another one, where that is
 * safe.
 *
 * <p>Invariants: a statement that may have run and can change data is sent only once; a reply of
 * the primary counts only while this proxy holds a lease and its configuration still names that
 * endpoint as primary in the same term; a statement that could not be sent before {@link
 * #RETRY_WINDOW_SHARE} of its timeout had passed fails as not run; each statement sent to a cold
 * endpoint has spent a warm-up token. Used on the event loop.
 */
final class StatementExecution {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Share of the statement timeout after which a waiting statement fails and none is retried. */
    private static final double RETRY_WINDOW_SHARE = 0.7;

    private static final long SILENCE_LIMIT_NANOS = 400 * NANOS_PER_MILLI;

    /** Multiple of the endpoint's average response time after which a reply is overdue. */
    private static final int OVERDUE_FACTOR = 5;

    /** A primary that has been silent for less than this counts as responsive. */
    private static final long RESPONSIVE_SILENCE_NANOS = 200 * NANOS_PER_MILLI;

    private static final long RETRY_DELAY_MILLIS = 12;
    private static final int MAX_ATTEMPTS = 12;

    /** Orders statements by the urgency of their route, then by age. */
    static final Comparator<StatementExecution> BY_URGENCY =
            Comparator.<StatementExecution>comparingInt(each -> each.context.route().priority())
                    .thenComparingLong(each -> each.startedAtNanos);

    /**
     * A statement to execute.
     *
     * @param id the request id that the caller gave
     * @param statement the statement
     * @param prepared the prepared statement that it executes; null for others
     * @param effect what it can change
     * @param primaryOnly true when it may run at the primary only
     */
    record Operation(
            String id,
            Statement statement,
            Prepared prepared,
            Effect effect,
            boolean primaryOnly) {}

    /**
     * The session for which a statement runs.
     *
     * @param account the client account that it runs for
     * @param route the route from the caller's database name to a database
     * @param settings the session's settings by name
     * @param lastCommit the position of the session's last commit
     */
    record SessionContext(
            ClientAccountId account,
            Route route,
            Map<String, String> settings,
            TermPosition lastCommit) {}

    /** Receives the outcome of a statement. */
    interface Listener {
        /**
         * Handles the outcome; a connection in it stays in use and must be released.
         *
         * @param outcome how the statement ended
         */
        void onComplete(Outcome outcome);
    }

    /**
     * How a statement ended.
     *
     * @param reply the endpoint's reply; null when there is none that counts
     * @param error the error for the caller; null for success
     * @param detail the reason of the error or of the last failed attempt
     * @param connection the connection that is still in use; null when released or closed
     * @param placement where it ran last; null when no endpoint was selected
     * @param attempts how often it was sent
     */
    record Outcome(
            EndpointReply reply,
            SessionError error,
            String detail,
            PooledConnection connection,
            Placement placement,
            int attempts) {}

    private final SessionEngine engine;
    private final Operation operation;
    private final SessionContext context;
    private final Listener listener;
    private final boolean isPinned;
    private final boolean holdsConnection;
    private final long startedAtNanos = EventLoop.nowNanos();
    private final long timeoutNanos;
    private final Set<EndpointId> excluded = new HashSet<>();
    private Placement placement;
    private PooledConnection connection;
    private EndpointPool.Waiter waiter;
    private boolean needsPlacement;
    private boolean isInFlight;
    private boolean isTimedOut;
    private boolean isFinished;
    private boolean isRerouting;
    private boolean isAwaitingToken;
    private long sentAtNanos;
    private int attempts;
    private String lastDetail = "";

    private StatementExecution(
            SessionEngine engine,
            Operation operation,
            SessionContext context,
            PooledConnection connection,
            Placement placement,
            boolean holdConnection,
            Listener listener) {
        this.engine = engine;
        this.operation = operation;
        this.context = context;
        this.connection = connection;
        this.placement = placement;
        this.isPinned = connection != null;
        this.holdsConnection = holdConnection || isPinned;
        this.listener = listener;
        this.timeoutNanos = context.route().statementTimeoutMillis() * NANOS_PER_MILLI;
    }

    /**
     * Creates an execution at any suitable endpoint; {@code holdConnection} keeps its connection in
     * use.
     */
    static StatementExecution onAnyEndpoint(
            SessionEngine engine,
            Operation operation,
            SessionContext context,
            boolean holdConnection,
            Listener listener) {
        return new StatementExecution(
                engine, operation, context, null, null, holdConnection, listener);
    }

    /** Creates an execution on the connection of an open transaction, which stays in use. */
    static StatementExecution onConnection(
            SessionEngine engine,
            Operation operation,
            SessionContext context,
            PooledConnection connection,
            Placement placement,
            Listener listener) {
        return new StatementExecution(
                engine, operation, context, connection, placement, true, listener);
    }

    void start() {
        engine.onStarted(this);
        if (isPinned) {
            send();
        } else {
            selectPlacement();
        }
    }

    private void selectPlacement() {
        needsPlacement = true;
        if (!engine.isLeased()) {
            fail(SessionError.BUSY, "no lease from control");
            return;
        }
        placement =
                engine.selectPlacement(
                        context.route(),
                        context.account(),
                        operation.primaryOnly(),
                        context.lastCommit(),
                        excluded,
                        this);
        if (placement == null) {
            String exclusion =
                    engine.findRegionExclusion(
                            context.route(), context.account(), operation.primaryOnly());
            if (exclusion != null) {
                fail(SessionError.BUSY, exclusion);
                return;
            }
            String rejection = engine.rejection(context.route());
            if (rejection != null) {
                fail(SessionError.BUSY, rejection);
                return;
            }
            String reason = engine.primaryReason(context.route());
            lastDetail = reason.isEmpty() ? "no endpoint can serve" : reason;
            if (!excluded.isEmpty()) {
                excluded.clear();
            }
            return;
        }
        needsPlacement = false;
        if (placement.pool().isFull() || placement.pool().isOverloaded(timeoutNanos)) {
            fail(SessionError.BUSY, "too many requests wait");
            return;
        }
        acquireConnection();
    }

    private void acquireConnection() {
        waiter = null;
        EndpointPool.Waiter requested =
                placement.pool().acquire(context.account(), this::onConnectionReady);
        if (connection == null && !isFinished && !needsPlacement) {
            waiter = requested;
        }
    }

    private void onConnectionReady(PooledConnection ready) {
        waiter = null;
        if (isFinished) {
            if (ready != null) {
                ready.pool().release(ready, true);
            }
            return;
        }
        if (ready == null) {
            lastDetail = "the endpoint has left";
            retryElsewhere();
            return;
        }
        connection = ready;
        send();
    }

    private void send() {
        if (!engine.isCurrent(placement)) {
            if (isPinned) {
                closeConnection();
                fail(SessionError.ABORTED, "the primary was replaced");
            } else {
                releaseConnection(true);
                selectPlacement();
            }
            return;
        }
        if (!isPinned && !engine.isOpen(placement)) {
            releaseConnection(true);
            selectPlacement();
            return;
        }
        if (isPinned && !engine.mayContinue(placement)) {
            String reason = engine.closedReason(placement);
            closeConnection();
            fail(SessionError.ABORTED, reason);
            return;
        }
        if (isHeldBack()) {
            return;
        }
        attempts++;
        connection.applySettings(context.settings());
        Statement statement = operation.statement();
        if (operation.prepared() != null && statement instanceof Statement.Execute execute) {
            String name = engine.nameFor(operation.prepared());
            connection.ensurePrepared(operation.prepared(), name);
            statement = new Statement.Execute(name, execute.arguments());
        }
        isInFlight = true;
        isRerouting = false;
        sentAtNanos = EventLoop.nowNanos();
        PooledConnection used = connection;
        used.pool().health().recordSent(sentAtNanos);
        TermPosition requiredPosition = isPinned ? null : placement.requiredPosition();
        used.connection()
                .execute(
                        operation.id(), statement, requiredPosition, reply -> onReply(used, reply));
    }

    /**
     * Returns true when the statement has to wait for a warm-up token. It is spent once the
     * connection is open, so that the statement leaves at once; a failed connection needs none.
     */
    private boolean isHeldBack() {
        PooledConnection used = connection;
        isAwaitingToken = false;
        if (!used.connection().usable() || !engine.needsToken(placement)) {
            return false;
        }
        if (!used.connection().isOpen()) {
            used.connection().whenOpen(() -> sendOnceOpen(used));
            return true;
        }
        engine.recordOpen(used);
        boolean admitted = engine.tryAdmit(placement, this);
        if (!admitted) {
            awaitToken();
        }
        return !admitted;
    }

    private void sendOnceOpen(PooledConnection opened) {
        if (!isFinished && !isInFlight && connection == opened) {
            send();
        }
    }

    /** Waits for a warm-up token; unless a transaction is open, another endpoint may serve. */
    private void awaitToken() {
        lastDetail = "the endpoint is cold";
        isAwaitingToken = isPinned;
        if (!isPinned) {
            releaseConnection(true);
            placement = null;
            needsPlacement = true;
            engine.runAfter(RETRY_DELAY_MILLIS, this::retryPlacement);
        }
    }

    /** Returns true while the statement waits for an endpoint that may run it. */
    boolean isWaitingForEndpoint() {
        boolean isUnplaced = needsPlacement && connection == null && waiter == null;
        return !isFinished && (isUnplaced || isAwaitingToken);
    }

    /** Looks again for an endpoint, or sends the statement of an open transaction. */
    void resume() {
        if (!isFinished && isAwaitingToken) {
            send();
        } else {
            retryPlacement();
        }
    }

    private void onReply(PooledConnection used, EndpointReply reply) {
        used.pool().health().recordEnded();
        engine.recordAttempt(used, reply);
        if (isFinished) {
            return;
        }
        isInFlight = false;
        if (!isRerouting) {
            used.pool().recordReply(reply, sentAtNanos);
        }
        engine.recordPosition(placement, reply, sentAtNanos);
        EndpointReply effective = asLostIfReplaced(reply);
        lastDetail = effective.detail();
        Decision decision = AttemptPolicy.decide(operation.effect(), effective.reply());
        if (!decision.keepConnection()) {
            closeConnection();
        }
        applyDecision(decision, effective);
    }

    /**
     * Treats a reply of a primary that has been replaced as lost: what it ran may not survive the
     * failover.
     */
    private EndpointReply asLostIfReplaced(EndpointReply reply) {
        boolean ran = reply.reply().mayHaveRun();
        if (ran && reply.reply() != Reply.LOST && !engine.isCurrent(placement)) {
            return EndpointReply.withoutResponse(Reply.LOST, "the primary was replaced meanwhile");
        }
        return reply;
    }

    private void applyDecision(Decision decision, EndpointReply reply) {
        boolean retriesExhausted =
                isTimedOut || isPastRetryWindow(EventLoop.nowNanos()) || attempts >= MAX_ATTEMPTS;
        switch (decision.step()) {
            case DELIVER -> finish(reply, null);
            case RETRY_ELSEWHERE -> {
                if (retriesExhausted) {
                    releaseConnection(true);
                    finish(reply, decision.error());
                } else {
                    excludeEndpoint(reply.reply());
                    releaseConnection(true);
                    retryElsewhere();
                }
            }
            case RETRY_SAME_ENDPOINT -> {
                if (retriesExhausted) {
                    finish(reply, decision.error());
                } else {
                    engine.runAfter(RETRY_DELAY_MILLIS, this::resend);
                }
            }
            case PREPARE -> {
                connection.forgetPrepared(operation.prepared());
                if (retriesExhausted) {
                    finish(reply, decision.error());
                } else {
                    send();
                }
            }
            default -> finish(reply, decision.error());
        }
    }

    private void resend() {
        if (!isFinished) {
            send();
        }
    }

    private void excludeEndpoint(Reply reply) {
        if (!operation.primaryOnly()) {
            excluded.add(placement.pool().target().endpoint());
        }
        if (reply == Reply.NOT_PRIMARY) {
            lastDetail = "the endpoint does not lead";
        }
    }

    private void retryElsewhere() {
        placement = null;
        needsPlacement = true;
        boolean retryAtOnce = !operation.primaryOnly() && !excluded.isEmpty() && attempts < 3;
        if (retryAtOnce) {
            selectPlacement();
        } else {
            engine.runAfter(RETRY_DELAY_MILLIS, this::retryPlacement);
        }
    }

    private void retryPlacement() {
        if (!isFinished && needsPlacement && connection == null && waiter == null) {
            selectPlacement();
        }
    }

    private boolean isPastRetryWindow(long nowNanos) {
        return nowNanos - startedAtNanos > (long) (RETRY_WINDOW_SHARE * timeoutNanos);
    }

    /** Returns true while the statement is in flight at the group's primary, which responds. */
    boolean isInFlightAtPrimary(GroupId group, long nowNanos) {
        return isInFlight
                && placement.isPrimary()
                && placement.group().id().equals(group)
                && placement.pool().health().silenceNanos(nowNanos) < RESPONSIVE_SILENCE_NANOS;
    }

    void tick(long nowNanos) {
        if (isFinished) {
            return;
        }
        if (isInFlight) {
            checkReply(nowNanos);
            return;
        }
        if (isPastRetryWindow(nowNanos)) {
            if (isPinned) {
                closeConnection();
                fail(SessionError.ABORTED, "no slot in time");
            } else {
                fail(
                        SessionError.BUSY,
                        lastDetail.isEmpty() ? "no connection in time" : lastDetail);
            }
        } else if (isWaitingForEndpoint()) {
            resume();
        } else if (waiter != null && !operation.primaryOnly()) {
            moveToFreeEndpoint();
        }
    }

    /**
     * Moves a waiting read to an endpoint that has a free connection and is the better choice by
     * now: after a start, replicas can serve only once the primary's position is known.
     */
    private void moveToFreeEndpoint() {
        Placement best =
                engine.selectPlacement(
                        context.route(),
                        context.account(),
                        false,
                        context.lastCommit(),
                        excluded,
                        this);
        boolean isElsewhere = best != null && best.pool() != placement.pool();
        if (isElsewhere && best.pool().hasFreeConnection()) {
            placement.pool().cancel(waiter);
            placement = best;
            acquireConnection();
        }
    }

    private void checkReply(long nowNanos) {
        if (engine.isReplaced(placement)) {
            connection.connection().close();
            return;
        }
        isTimedOut = nowNanos - startedAtNanos > timeoutNanos;
        isRerouting = !isTimedOut && isStuck(nowNanos);
        if (!isTimedOut && !isRerouting) {
            return;
        }
        if (connection.pool().health().silenceNanos(nowNanos) > SILENCE_LIMIT_NANOS) {
            connection.pool().closeIdleSinceBefore(sentAtNanos);
        }
        connection.connection().close();
    }

    /**
     * Returns true when the reply is long overdue and the connection can be closed without an
     * effect that stays: for a read, or a transaction whose commit was not sent.
     */
    private boolean isStuck(long nowNanos) {
        boolean noLastingEffect =
                operation.effect() == Effect.SINGLE_READ
                        || operation.effect() == Effect.BEGIN
                        || operation.effect() == Effect.IN_TRANSACTION;
        long averageNanos = (long) (connection.pool().health().responseMillis() * NANOS_PER_MILLI);
        long overdueNanos = Math.max(SILENCE_LIMIT_NANOS, OVERDUE_FACTOR * averageNanos);
        return noLastingEffect && nowNanos - sentAtNanos > overdueNanos;
    }

    /** Closes the connection; the endpoint rolls back the transaction open on it. */
    private void closeConnection() {
        if (connection != null) {
            connection.pool().release(connection, false);
            connection = null;
        }
    }

    private void releaseConnection(boolean keep) {
        if (connection != null && !isPinned) {
            connection.pool().release(connection, keep);
            connection = null;
        }
    }

    private void fail(SessionError error, String detail) {
        lastDetail = detail;
        finish(null, error);
    }

    private void finish(EndpointReply reply, SessionError error) {
        if (isFinished) {
            return;
        }
        isFinished = true;
        engine.onFinished(this);
        if (waiter != null) {
            placement.pool().cancel(waiter);
            waiter = null;
        }
        if (!holdsConnection || error != null && !isPinned) {
            releaseConnection(true);
        }
        listener.onComplete(new Outcome(reply, error, lastDetail, connection, placement, attempts));
    }
}
