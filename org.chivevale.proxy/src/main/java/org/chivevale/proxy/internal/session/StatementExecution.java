package org.chivevale.proxy.internal.session;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import org.chivevale.core.admission.AdmissionRequest;
import org.chivevale.core.admission.Rejection;
import org.chivevale.core.admission.Ticket;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.interactive.AttemptPolicy;
import org.chivevale.core.interactive.AttemptPolicy.Decision;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.SessionError;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.process.EventLoop;

/**
 * Executes one statement at an endpoint and retries it, there or at another one, where that is
 * safe.
 *
 * <p>Invariants: a statement that may have run and can change data is sent only once; a reply of
 * the primary counts only while this proxy holds a lease and its configuration still names that
 * endpoint as primary in the same term; a statement that could not be sent before {@link
 * StatementDeadline#RETRY_WINDOW_SHARE} of its timeout had passed fails as not run; each statement
 * sent to a cold endpoint has spent a warm-up token. Used on the event loop.
 */
final class StatementExecution {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A primary that has been silent for less than this counts as responsive. */
    private static final long RESPONSIVE_SILENCE_NANOS = 200 * NANOS_PER_MILLI;

    private static final long RETRY_DELAY_MILLIS = 12;
    private static final int MAX_ATTEMPTS = 12;
    private static final String CALLER_LEFT = "the caller has left";

    /** Orders statements by the urgency of their route, then by age. */
    static final Comparator<StatementExecution> BY_URGENCY =
            Comparator.<StatementExecution>comparingInt(each -> each.context.route().priority())
                    .thenComparingLong(each -> each.deadline.startedAtNanos());

    private final SessionEngine engine;
    private final Operation operation;
    private final SessionContext context;
    private final StatementListener listener;
    private final boolean isPinned;
    private final boolean holdsConnection;
    private final StatementDeadline deadline;
    private final Set<EndpointId> excluded = new HashSet<>();
    private Placement fixedPlacement;
    private Placement placement;
    private PooledConnection connection;
    private Ticket<EndpointPool.Waiter> waiter;
    private boolean needsPlacement;
    private boolean isInFlight;
    private boolean isTimedOut;
    private boolean isFinished;
    private boolean isRerouting;
    private boolean isAwaitingToken;
    private boolean isAbandoned;
    private long sentAtNanos;
    private long queuedNanos;
    private String host = "";
    private int attempts;
    private String lastDetail = "";

    private StatementExecution(
            SessionEngine engine,
            Operation operation,
            SessionContext context,
            PooledConnection connection,
            Placement placement,
            boolean holdConnection,
            StatementListener listener) {
        this.engine = engine;
        this.operation = operation;
        this.context = context;
        this.connection = connection;
        this.placement = placement;
        this.isPinned = connection != null;
        this.holdsConnection = holdConnection || isPinned;
        this.listener = listener;
        this.deadline =
                new StatementDeadline(
                        EventLoop.nowNanos(),
                        context.route().statementTimeoutMillis() * NANOS_PER_MILLI);
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
            StatementListener listener) {
        return new StatementExecution(
                engine, operation, context, null, null, holdConnection, listener);
    }

    /**
     * Creates an execution at one endpoint, for another proxy, which decides on attempts elsewhere;
     * only a lack of capacity is retried here.
     */
    static StatementExecution atEndpoint(
            SessionEngine engine,
            Operation operation,
            SessionContext context,
            Placement fixed,
            boolean holdConnection,
            StatementListener listener) {
        StatementExecution execution =
                onAnyEndpoint(engine, operation, context, holdConnection, listener);
        execution.fixedPlacement = fixed;
        return execution;
    }

    /** Creates an execution on the connection of an open transaction, which stays in use. */
    static StatementExecution onConnection(
            SessionEngine engine,
            Operation operation,
            SessionContext context,
            PooledConnection connection,
            Placement placement,
            StatementListener listener) {
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
        if (fixedPlacement != null && !engine.isCurrent(fixedPlacement)) {
            fail(SessionError.NOT_PRIMARY, "the host has no lease or the primary was replaced");
            return;
        }
        if (!engine.isLeased()) {
            fail(SessionError.BUSY, "no lease from control");
            return;
        }
        placement =
                fixedPlacement != null
                        ? fixedPlacement
                        : engine.selectPlacement(
                                context.route(),
                                context.account(),
                                operation.primaryOnly(),
                                context.lastCommit(),
                                excluded,
                                this);
        if (placement == null) {
            String rejection =
                    engine.findRejection(
                            context.route(), context.account(), operation.primaryOnly());
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
        Rejection rejection = placement.pool().rejectionFor(admissionRequest());
        if (rejection != null && !moveToAcceptingEndpoint()) {
            placement.pool().recordRejection(admissionRequest(), rejection);
            fail(SessionError.BUSY, rejection.describe());
            return;
        }
        acquireConnection();
    }

    /** Selects another endpoint for a read that the selected one cannot serve in time. */
    private boolean moveToAcceptingEndpoint() {
        boolean isFixed = operation.primaryOnly() || fixedPlacement != null;
        Placement next =
                isFixed
                        ? null
                        : engine.findAccepting(
                                context, admissionRequest(), placement, excluded, this);
        placement = next == null ? placement : next;
        return next != null;
    }

    private AdmissionRequest admissionRequest() {
        return new AdmissionRequest(
                context.route().priority(), context.account(), deadline.retryWindowEndNanos());
    }

    private void acquireConnection() {
        waiter = null;
        Ticket<EndpointPool.Waiter> queued =
                placement.pool().acquire(poolRequest(), this::onConnectionReady);
        if (queued != null) {
            waiter = queued;
        }
    }

    private PoolRequest poolRequest() {
        return new PoolRequest(
                admissionRequest(), engine.allowedRegions(context.route(), context.account()));
    }

    private void onConnectionReady(PooledConnection ready) {
        waiter = null;
        if (isFinished) {
            if (ready != null) {
                ready.pool().release(ready, true);
            }
            return;
        }
        if (ready == null && deadline.isPastRetryWindow(EventLoop.nowNanos())) {
            fail(SessionError.BUSY, Rejection.Reason.EXPIRED.text());
            return;
        }
        if (ready == null && fixedPlacement != null) {
            boolean hasLeft = !placement.pool().takesWork();
            fail(
                    hasLeft ? SessionError.NOT_PRIMARY : SessionError.BUSY,
                    hasLeft ? "the endpoint has left" : Rejection.Reason.DISPLACED.text());
            return;
        }
        if (ready == null) {
            lastDetail = "the endpoint has left";
            retryElsewhere();
            return;
        }
        connection = ready;
        if (context.callerHasLeft().getAsBoolean()) {
            fail(SessionError.ABORTED, CALLER_LEFT);
        } else {
            send();
        }
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
            if (fixedPlacement == null) {
                selectPlacement();
            } else {
                fail(SessionError.NOT_PRIMARY, engine.closedReason(placement));
            }
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
        isInFlight = true;
        isRerouting = false;
        sentAtNanos = EventLoop.nowNanos();
        if (attempts == 1) {
            queuedNanos = sentAtNanos - deadline.startedAtNanos();
        }
        PooledConnection used = connection;
        used.recordSent(sentAtNanos);
        used.execute(
                Attempt.of(
                        engine,
                        operation,
                        context,
                        placement,
                        isPinned,
                        deadline.remainingMillis(sentAtNanos)),
                reply -> onReply(used, reply));
    }

    /**
     * Returns true when the statement has to wait for a warm-up token. It is spent once the
     * connection is open, so that the statement leaves at once; a failed connection needs none, and
     * for a relayed one the connection host spends it.
     */
    private boolean isHeldBack() {
        PooledConnection used = connection;
        isAwaitingToken = false;
        boolean isExempt = used.isRelayed() || !used.connection().usable();
        if (isExempt || !engine.needsToken(placement)) {
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
        used.recordEnded();
        engine.recordAttempt(used, reply);
        host = used.hostId();
        if (isFinished) {
            return;
        }
        isInFlight = false;
        if (!isRerouting) {
            used.recordReply(reply, sentAtNanos);
        }
        engine.recordPosition(placement, reply, sentAtNanos);
        EndpointReply effective = ReplyRules.asLostIfReplaced(engine, placement, reply);
        lastDetail = effective.detail();
        if (effective.reply() == Reply.SUCCESS && operation.commitsWrites()) {
            engine.recordAcknowledged(placement, effective.position());
        }
        Decision decision = AttemptPolicy.decide(operation.effect(), effective.reply());
        if (!decision.keepConnection()) {
            closeConnection();
        }
        applyDecision(decision, effective);
    }

    private void applyDecision(Decision decision, EndpointReply reply) {
        boolean retriesExhausted =
                isTimedOut
                        || isAbandoned
                        || deadline.isPastRetryWindow(EventLoop.nowNanos())
                        || attempts >= MAX_ATTEMPTS;
        switch (decision.step()) {
            case DELIVER -> finish(reply, null);
            case RETRY_ELSEWHERE -> {
                if (retriesExhausted || !mayRetry(reply.reply())) {
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

    private boolean mayRetry(Reply reply) {
        return fixedPlacement == null
                ? RelayRules.mayRetryAtSender(operation, reply, !host.isEmpty())
                : RelayRules.mayRetryAtHost(operation, reply, attempts);
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
        boolean retryAtOnce =
                fixedPlacement == null
                        && !operation.primaryOnly()
                        && !excluded.isEmpty()
                        && attempts < 3;
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
        if (!isPinned && context.callerHasLeft().getAsBoolean()) {
            fail(SessionError.ABORTED, CALLER_LEFT);
            return;
        }
        if (deadline.isPastRetryWindow(nowNanos)) {
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
        } else if (waiter != null && !operation.primaryOnly() && fixedPlacement == null) {
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

    /** Ends the execution unless its statement is in flight, as when its sender has given up. */
    void cancelUnlessSent() {
        if (!isFinished && !isInFlight) {
            fail(SessionError.BUSY, "given up by the sender");
        }
    }

    private void checkReply(long nowNanos) {
        if (engine.isReplaced(placement)) {
            connection.connection().close();
            return;
        }
        long waitNanos = nowNanos - sentAtNanos;
        if (ReplyRules.isWorthCancelling(operation, context, connection, waitNanos)) {
            isAbandoned = true;
            isRerouting = true;
            connection.connection().close();
            return;
        }
        isTimedOut = deadline.isPast(nowNanos);
        boolean isSlow =
                ReplyRules.isStuck(operation, connection, waitNanos) || isOutrun(waitNanos);
        isRerouting = !isTimedOut && isSlow;
        if (!isTimedOut && !isRerouting) {
            return;
        }
        if (connection.pool().health().silenceNanos(nowNanos) > ReplyRules.SILENCE_LIMIT_NANOS) {
            connection.pool().closeIdleSinceBefore(sentAtNanos);
        }
        connection.connection().close();
    }

    private boolean isOutrun(long waitNanos) {
        return connection.isRelayed()
                && !isPinned
                && RelayRules.isOutrun(engine, operation, context, placement, waitNanos);
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
        listener.onComplete(
                new StatementOutcome(
                        reply,
                        error,
                        lastDetail,
                        connection,
                        placement,
                        attempts,
                        queuedNanos,
                        host));
    }
}
