package org.chivevale.proxy.internal.session;

import java.util.function.Consumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Route;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Statement;
import org.chivevale.database.session.SessionConnection;
import org.chivevale.database.session.TransactionState;
import org.chivevale.process.EventLoop;

/**
 * One transaction of a session, pinned to one connection from its first statement on.
 *
 * <p>Invariants: the route is the one that was in force when it began; no statement runs on another
 * connection; once its connection is closed, or the caller received an error that says that nothing
 * is kept, it can only be rolled back. Used on the event loop.
 */
public final class OpenTransaction {
    private final SessionEngine engine;
    private final ClientAccountId account;
    private final Route route;
    private final boolean readOnly;
    private PooledConnection connection;
    private Placement placement;
    private boolean hasBegun;
    private boolean hasWritten;
    private boolean settingsChanged;
    private boolean hasFailed;
    private String abortReason = "";
    private long idleSinceNanos = EventLoop.nowNanos();

    /**
     * Creates a transaction; it begins at an endpoint with its first statement.
     *
     * @param engine the engine that all sessions share
     * @param account the client account that it runs for
     * @param route the route in force
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
     * Returns whether the transaction has failed.
     *
     * @return true when it can only be rolled back
     */
    public boolean hasFailed() {
        return hasFailed;
    }

    /**
     * Returns whether the transaction may have changed data.
     *
     * @return true once a write was sent
     */
    public boolean hasWritten() {
        return hasWritten;
    }

    /**
     * Records that session settings were changed in it, which a rollback at the endpoint may undo.
     */
    public void markSettingsChanged() {
        settingsChanged = true;
    }

    /**
     * Executes a statement and begins the transaction at an endpoint first if need be.
     *
     * @param operation the statement
     * @param context the session
     * @param listener receives the outcome
     */
    void execute(Operation operation, SessionContext context, Consumer<StatementOutcome> listener) {
        if (hasBegun) {
            send(operation, context, listener);
            return;
        }
        Operation begin =
                new Operation(
                        SessionConnection.OWN_ID,
                        new Statement.Begin(readOnly),
                        null,
                        Effect.BEGIN,
                        !readOnly);
        StatementExecution.onAnyEndpoint(
                        engine,
                        begin,
                        context,
                        true,
                        outcome -> {
                            if (outcome.error() != null) {
                                hasFailed = true;
                                listener.accept(outcome);
                                return;
                            }
                            hasBegun = true;
                            connection = outcome.connection();
                            placement = outcome.placement();
                            send(operation, context, listener);
                        })
                .start();
    }

    private void send(
            Operation operation, SessionContext context, Consumer<StatementOutcome> listener) {
        hasWritten |= writes(operation);
        StatementExecution.onConnection(
                        engine,
                        operation,
                        context,
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
                            boolean hasNoEffect =
                                    outcome.error() != null && outcome.error().guaranteesNoEffect();
                            hasFailed = !stillOpen || hasNoEffect;
                            listener.accept(outcome);
                        })
                .start();
    }

    private static boolean writes(Operation operation) {
        return operation.statement() instanceof Statement.Write
                || operation.prepared() != null && operation.prepared().writes();
    }

    /**
     * Releases the connection after a commit.
     *
     * @param clean true when the endpoint reported that no transaction is open
     */
    public void releaseAfterCommit(boolean clean) {
        hasFailed = true;
        if (connection != null) {
            connection.pool().release(connection, clean);
            connection = null;
        }
    }

    /** Rolls back at the endpoint and releases the connection. */
    public void rollBack() {
        hasFailed = true;
        PooledConnection used = connection;
        connection = null;
        if (used == null) {
            return;
        }
        used.rollBackAndRelease(settingsChanged);
    }

    /**
     * Rolls back if the endpoint's data centre is evacuated and the time to end has passed.
     *
     * @return the reason of the rollback; empty when it was not rolled back now
     */
    public String rollBackIfEvacuated() {
        if (connection != null && !hasFailed && !engine.mayContinue(placement)) {
            abortReason = engine.closedReason(placement);
            rollBack();
            return abortReason;
        }
        return "";
    }

    /**
     * Returns whether the proxy has rolled the transaction back and its caller was not told.
     *
     * @return false once the reason was taken
     */
    public boolean isAborted() {
        return !abortReason.isEmpty();
    }

    /**
     * Takes the reason for which the proxy has rolled the transaction back.
     *
     * @param otherwise returned when there is none or it was taken
     * @return the reason
     */
    public String takeAbortReason(String otherwise) {
        String reason = abortReason.isEmpty() ? otherwise : abortReason;
        abortReason = "";
        return reason;
    }

    /**
     * Returns how long the transaction has been idle.
     *
     * @param nowNanos the monotonic time
     * @return nanoseconds since its last statement ended
     */
    public long idleNanos(long nowNanos) {
        return nowNanos - idleSinceNanos;
    }

    /**
     * Returns the route.
     *
     * @return the route that was in force when it began
     */
    public Route route() {
        return route;
    }

    /**
     * Returns the client account.
     *
     * @return the account that it runs for
     */
    public ClientAccountId accountId() {
        return account;
    }
}
