package org.chivevale.proxy.internal.session;

import java.util.function.Consumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Route;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.Statement;
import org.chivevale.database.session.SessionConnection;
import org.chivevale.database.session.TransactionState;
import org.chivevale.process.EventLoop;

/**
 * One transaction of a session, bound to one connection from its first statement on.
 *
 * <p>Invariants: the route is the one that was in force when it began; no statement runs on another
 * connection; once its connection is closed, or its caller was told that nothing is kept, it can
 * only be rolled back. Used on the event loop.
 */
public final class OpenTransaction {
    private final SessionEngine engine;
    private final ClientAccountId account;
    private final Route route;
    private final boolean readOnly;
    private PooledConnection connection;
    private Placement placement;
    private boolean begun;
    private boolean wrote;
    private boolean valuesChanged;
    private boolean failed;
    private long idleSinceNanos = EventLoop.nowNanos();

    /**
     * Begins a transaction without touching an endpoint yet.
     *
     * @param engine what sessions share
     * @param account on whose behalf
     * @param route how it reaches a database
     * @param readOnly true when it will not write
     */
    public OpenTransaction(
            SessionEngine engine, ClientAccountId account, Route route, boolean readOnly) {
        this.engine = engine;
        this.account = account;
        this.route = route;
        this.readOnly = readOnly;
    }

    /**
     * Tells whether it can only be ended.
     *
     * @return true after a failure
     */
    public boolean failed() {
        return failed;
    }

    /**
     * Tells whether it has changed data.
     *
     * @return true once a write was sent
     */
    public boolean wrote() {
        return wrote;
    }

    /** Notes that the session's values changed, which a rollback may take back. */
    public void valuesChanged() {
        valuesChanged = true;
    }

    /**
     * Runs a statement, after beginning at an endpoint where that is still to be done.
     *
     * @param work the statement
     * @param origin for whom
     * @param end learns the end
     */
    void run(Attempt.Work work, Attempt.Origin origin, Consumer<Attempt.Outcome> end) {
        if (begun) {
            send(work, origin, end);
            return;
        }
        Attempt.Work begin =
                new Attempt.Work(
                        SessionConnection.OWN_ID,
                        new Statement.Begin(readOnly),
                        null,
                        Effect.BEGIN,
                        !readOnly);
        Attempt.anywhere(
                        engine,
                        begin,
                        origin,
                        true,
                        outcome -> {
                            if (outcome.error() != null) {
                                failed = true;
                                end.accept(outcome);
                                return;
                            }
                            begun = true;
                            connection = outcome.connection();
                            placement = outcome.placement();
                            send(work, origin, end);
                        })
                .start();
    }

    private void send(Attempt.Work work, Attempt.Origin origin, Consumer<Attempt.Outcome> end) {
        wrote |= writes(work);
        Attempt.on(
                        engine,
                        work,
                        origin,
                        connection,
                        placement,
                        outcome -> {
                            idleSinceNanos = EventLoop.nowNanos();
                            connection = outcome.connection();
                            boolean stillOpen =
                                    connection != null
                                            && outcome.reply() != null
                                            && outcome.reply().transaction()
                                                    == TransactionState.OPEN;
                            boolean promised =
                                    outcome.error() != null && outcome.error().guaranteesNoEffect();
                            failed = !stillOpen || promised;
                            end.accept(outcome);
                        })
                .start();
    }

    private static boolean writes(Attempt.Work work) {
        return work.statement() instanceof Statement.Write
                || work.prepared() != null && work.prepared().writes();
    }

    /**
     * Gives the connection back after a commit.
     *
     * @param clean true when the endpoint says that no transaction is open any more
     */
    public void finish(boolean clean) {
        failed = true;
        if (connection != null) {
            connection.pool().release(connection, clean);
            connection = null;
        }
    }

    /** Rolls back at the endpoint and gives the connection back. */
    public void rollBack() {
        failed = true;
        PooledConnection used = connection;
        connection = null;
        if (used == null) {
            return;
        }
        if (valuesChanged) {
            used.doubtValues();
        }
        used.connection()
                .execute(
                        SessionConnection.OWN_ID,
                        new Statement.Rollback(),
                        null,
                        reply ->
                                used.pool()
                                        .release(
                                                used,
                                                reply.reply() == Reply.SUCCESS
                                                        && reply.transaction()
                                                                == TransactionState.NONE));
    }

    /**
     * Tells how long it has rested.
     *
     * @param nowNanos the time
     * @return the time since its last statement ended
     */
    public long idleNanos(long nowNanos) {
        return nowNanos - idleSinceNanos;
    }

    /**
     * Names the route that was in force when it began.
     *
     * @return the route
     */
    public Route route() {
        return route;
    }

    /**
     * Names the account.
     *
     * @return on whose behalf it runs
     */
    public ClientAccountId accountId() {
        return account;
    }
}
