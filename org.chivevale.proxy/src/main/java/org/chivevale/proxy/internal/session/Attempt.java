package org.chivevale.proxy.internal.session;

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
 * Brings one statement to an endpoint, at another place or a little later where that is safe.
 *
 * <p>Invariants: a statement that may have run and can change data is sent once; what the primary
 * answered counts only while this proxy's lease still names it; a statement that no endpoint was
 * offered in good time is given up as not run. Used on the event loop.
 */
final class Attempt {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double WAIT_SHARE = 0.7;
    private static final long SILENT_NANOS = 400 * NANOS_PER_MILLI;
    private static final int OVERDUE_TIMES = 5;
    private static final long PRIMARY_ANSWERS_NANOS = 200 * NANOS_PER_MILLI;
    private static final long AGAIN_MILLIS = 12;
    private static final int MAX_TRIES = 12;

    /**
     * What shall run.
     *
     * @param id the caller's id
     * @param statement the statement
     * @param prepared what a prepared statement does; null for others
     * @param effect what it can change
     * @param atPrimary true when only the primary will do
     */
    record Work(
            String id, Statement statement, Prepared prepared, Effect effect, boolean atPrimary) {}

    /**
     * For whom it runs.
     *
     * @param account on whose behalf
     * @param route how it reaches a database
     * @param values the session's values
     * @param floor the last commit of the session
     */
    record Origin(
            ClientAccountId account, Route route, Map<String, String> values, TermPosition floor) {}

    /** Learns the end; a connection that is handed over stays in use. */
    interface End {
        /**
         * The statement has ended.
         *
         * @param outcome how
         */
        void ended(Outcome outcome);
    }

    /**
     * How a statement ended.
     *
     * @param reply the endpoint's reply; null when none counts
     * @param error what the caller is told; null for success
     * @param detail why
     * @param connection still held; null when it was given back or closed
     * @param placement where it ran last; null when nowhere
     * @param tries how often it was sent or placed
     */
    record Outcome(
            EndpointReply reply,
            SessionError error,
            String detail,
            PooledConnection connection,
            Placement placement,
            int tries) {}

    private final SessionEngine engine;
    private final Work work;
    private final Origin origin;
    private final End end;
    private final boolean bound;
    private final boolean hold;
    private final long startNanos = EventLoop.nowNanos();
    private final long timeoutNanos;
    private final Set<EndpointId> passedOver = new HashSet<>();
    private Placement placement;
    private PooledConnection connection;
    private EndpointPool.Waiter waiter;
    private boolean placing;
    private boolean sent;
    private boolean gaveUp;
    private boolean finished;
    private boolean moving;
    private long sentNanos;
    private int tries;
    private String lastDetail = "";

    private Attempt(
            SessionEngine engine,
            Work work,
            Origin origin,
            PooledConnection connection,
            Placement placement,
            boolean hold,
            End end) {
        this.engine = engine;
        this.work = work;
        this.origin = origin;
        this.connection = connection;
        this.placement = placement;
        this.bound = connection != null;
        this.hold = hold || bound;
        this.end = end;
        this.timeoutNanos = origin.route().statementTimeoutMillis() * NANOS_PER_MILLI;
    }

    /** Runs a statement wherever it may run; its connection is given back, or held if wanted. */
    static Attempt anywhere(SessionEngine engine, Work work, Origin origin, boolean hold, End end) {
        return new Attempt(engine, work, origin, null, null, hold, end);
    }

    /** Runs a statement on the connection of its transaction. */
    static Attempt on(
            SessionEngine engine,
            Work work,
            Origin origin,
            PooledConnection connection,
            Placement placement,
            End end) {
        return new Attempt(engine, work, origin, connection, placement, true, end);
    }

    void start() {
        engine.started(this);
        if (bound) {
            send();
        } else {
            place();
        }
    }

    private void place() {
        placing = true;
        if (!engine.leased()) {
            fail(SessionError.BUSY, "no lease from control");
            return;
        }
        placement = engine.place(origin.route(), work.atPrimary(), origin.floor(), passedOver);
        if (placement == null) {
            lastDetail = "no endpoint can serve";
            if (!passedOver.isEmpty()) {
                passedOver.clear();
            }
            return;
        }
        placing = false;
        if (placement.pool().hopeless(timeoutNanos)) {
            fail(SessionError.BUSY, "too many requests wait");
            return;
        }
        waiter = null;
        EndpointPool.Waiter asked = placement.pool().acquire(origin.account(), this::connected);
        if (connection == null && !finished && !placing) {
            waiter = asked;
        }
    }

    private void connected(PooledConnection ready) {
        waiter = null;
        if (finished) {
            if (ready != null) {
                ready.pool().release(ready, true);
            }
            return;
        }
        if (ready == null) {
            lastDetail = "the endpoint has left";
            elsewhere();
            return;
        }
        connection = ready;
        send();
    }

    private void send() {
        if (!engine.stands(placement)) {
            if (bound) {
                drop();
                fail(SessionError.ABORTED, "the primary was replaced");
            } else {
                giveBack(true);
                place();
            }
            return;
        }
        tries++;
        connection.adopt(origin.values());
        Statement statement = work.statement();
        if (work.prepared() != null && statement instanceof Statement.Execute execute) {
            String name = engine.nameOf(work.prepared());
            connection.prepare(work.prepared(), name);
            statement = new Statement.Execute(name, execute.arguments());
        }
        sent = true;
        moving = false;
        sentNanos = EventLoop.nowNanos();
        PooledConnection used = connection;
        used.pool().health().sent(sentNanos);
        TermPosition since = bound ? null : placement.since();
        used.connection().execute(work.id(), statement, since, reply -> replied(used, reply));
    }

    private void replied(PooledConnection used, EndpointReply reply) {
        used.pool().health().ended();
        if (finished) {
            return;
        }
        sent = false;
        if (!moving) {
            used.pool().replied(reply, sentNanos);
        }
        engine.learn(placement, reply, sentNanos);
        EndpointReply counted = believed(reply);
        lastDetail = counted.detail();
        Decision decision = AttemptPolicy.decide(work.effect(), counted.reply());
        if (!decision.keepConnection()) {
            drop();
        }
        follow(decision, counted);
    }

    /** What a replaced primary answered is as good as lost. */
    private EndpointReply believed(EndpointReply reply) {
        boolean ran = reply.reply().mayHaveRun();
        if (ran && reply.reply() != Reply.LOST && !engine.stands(placement)) {
            return EndpointReply.withoutResponse(Reply.LOST, "the primary was replaced meanwhile");
        }
        return reply;
    }

    private void follow(Decision decision, EndpointReply reply) {
        boolean late = gaveUp || overdue(EventLoop.nowNanos()) || tries >= MAX_TRIES;
        switch (decision.step()) {
            case DELIVER -> finish(reply, null);
            case ELSEWHERE -> {
                if (late) {
                    giveBack(true);
                    finish(reply, decision.error());
                } else {
                    passOver(reply.reply());
                    giveBack(true);
                    elsewhere();
                }
            }
            case AGAIN -> {
                if (late) {
                    finish(reply, decision.error());
                } else {
                    engine.later(AGAIN_MILLIS, this::again);
                }
            }
            case PREPARE -> {
                connection.forget(work.prepared());
                if (late) {
                    finish(reply, decision.error());
                } else {
                    send();
                }
            }
            default -> finish(reply, decision.error());
        }
    }

    private void again() {
        if (!finished) {
            send();
        }
    }

    private void passOver(Reply reply) {
        if (!work.atPrimary()) {
            passedOver.add(placement.pool().target().endpoint());
        }
        if (reply == Reply.NOT_PRIMARY) {
            lastDetail = "the endpoint does not lead";
        }
    }

    private void elsewhere() {
        placement = null;
        placing = true;
        boolean untried = !work.atPrimary() && !passedOver.isEmpty() && tries < 3;
        if (untried) {
            place();
        } else {
            engine.later(AGAIN_MILLIS, this::placeAgain);
        }
    }

    private void placeAgain() {
        if (!finished && placing && connection == null && waiter == null) {
            place();
        }
    }

    private boolean overdue(long nowNanos) {
        return nowNanos - startNanos > (long) (WAIT_SHARE * timeoutNanos);
    }

    /** True while it is open at a group's primary, and the primary answers others. */
    boolean openAtPrimary(GroupId group, long nowNanos) {
        return sent
                && placement.primary()
                && placement.group().id().equals(group)
                && placement.pool().health().silentFor(nowNanos) < PRIMARY_ANSWERS_NANOS;
    }

    void tick(long nowNanos) {
        if (finished) {
            return;
        }
        if (sent) {
            watch(nowNanos);
            return;
        }
        if (overdue(nowNanos)) {
            if (bound) {
                drop();
                fail(SessionError.ABORTED, "no slot in time");
            } else {
                fail(
                        SessionError.BUSY,
                        lastDetail.isEmpty() ? "no connection in time" : lastDetail);
            }
        } else if (placing) {
            placeAgain();
        }
    }

    private void watch(long nowNanos) {
        if (engine.replaced(placement)) {
            connection.connection().close();
            return;
        }
        gaveUp = nowNanos - startNanos > timeoutNanos;
        moving = !gaveUp && stuck(nowNanos);
        if (!gaveUp && !moving) {
            return;
        }
        if (connection.pool().health().silentFor(nowNanos) > SILENT_NANOS) {
            connection.pool().distrustIdleSince(sentNanos);
        }
        connection.connection().close();
    }

    /**
     * True when an answer is long overdue and nothing is kept by closing the connection: a read, or
     * a transaction whose commit was not sent.
     */
    private boolean stuck(long nowNanos) {
        boolean nothingKept =
                work.effect() == Effect.SINGLE_READ
                        || work.effect() == Effect.BEGIN
                        || work.effect() == Effect.IN_TRANSACTION;
        long usualNanos = (long) (connection.pool().health().responseMillis() * NANOS_PER_MILLI);
        long overdueNanos = Math.max(SILENT_NANOS, OVERDUE_TIMES * usualNanos);
        return nothingKept && nowNanos - sentNanos > overdueNanos;
    }

    /** Closes the connection, which rolls back what was open on it. */
    private void drop() {
        if (connection != null) {
            connection.pool().release(connection, false);
            connection = null;
        }
    }

    private void giveBack(boolean keep) {
        if (connection != null && !bound) {
            connection.pool().release(connection, keep);
            connection = null;
        }
    }

    private void fail(SessionError error, String detail) {
        lastDetail = detail;
        finish(null, error);
    }

    private void finish(EndpointReply reply, SessionError error) {
        if (finished) {
            return;
        }
        finished = true;
        engine.finished(this);
        if (waiter != null) {
            placement.pool().withdraw(waiter);
            waiter = null;
        }
        if (!hold || error != null && !bound) {
            giveBack(true);
        }
        end.ended(new Outcome(reply, error, lastDetail, connection, placement, tries));
    }
}
