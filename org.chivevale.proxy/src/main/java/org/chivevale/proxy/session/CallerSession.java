package org.chivevale.proxy.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Route;
import org.chivevale.core.config.StoredKey;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.SessionError;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.interactive.Statement.Prepared;
import org.chivevale.database.session.TransactionState;
import org.chivevale.proxy.internal.session.OpenTransaction;
import org.chivevale.proxy.internal.session.SessionState;
import org.chivevale.proxy.internal.session.StatementExecutor;

/**
 * One caller's session: its statement pipeline, open transaction and settings.
 *
 * <p>Invariants: statements are executed one at a time, in the order in which they arrived; key and
 * route are looked up again at the start of each operation, which is a transaction or a statement
 * outside of one; a transaction keeps the route that was in force at its start, and ends without
 * effect once the key does not stand for its account any more. Used on the event loop.
 */
public final class CallerSession {
    private static final int MAX_PIPELINED = 64;
    private static final String NO_REQUEST = "-";
    private static final String NO_LEASE = "no lease from control";
    private static final String KEY_CHANGED = "the key was withdrawn or moved to another account";
    private static final ClientAccountId ANONYMOUS = new ClientAccountId("anonymous");

    private final SessionService service;
    private final CallerConnection connection;
    private final SessionState state = new SessionState();
    private final Deque<Submitted> pipeline = new ArrayDeque<>();
    private String host = "";
    private String key = "";
    private OpenTransaction transaction;
    private boolean isBusy;
    private boolean isEnded;

    private record Submitted(String id, Statement statement) {}

    CallerSession(SessionService service, CallerConnection connection) {
        this.service = service;
        this.connection = connection;
    }

    /**
     * Opens the session; in a process that has just started, waits for its first lease.
     *
     * @param database the database name that the caller gave
     * @param callerKey the caller's key
     * @param opened receives null when the session is open, else the error
     */
    public void open(String database, String callerKey, Consumer<SessionError> opened) {
        host = database;
        key = callerKey;
        isBusy = true;
        service.runWhenLeased(() -> completeOpen(opened));
    }

    private void completeOpen(Consumer<SessionError> opened) {
        if (isEnded) {
            return;
        }
        SessionError error = checkAccess();
        if (error != null) {
            service.logRejected(NO_REQUEST, host, key, error, "when the session was opened");
        }
        isBusy = false;
        opened.accept(error);
        runNext();
    }

    /** Returns why no operation may begin; null when one may. */
    private SessionError checkAccess() {
        if (!service.isLeased()) {
            return SessionError.BUSY;
        }
        Configuration configuration = service.configuration();
        Route route = configuration.findRouteByHost(host);
        if (route == null) {
            return SessionError.NO_DATABASE;
        }
        return findAccount(route) == null ? SessionError.DENIED : null;
    }

    private ClientAccountId findAccount(Route route) {
        StoredKey stored = service.configuration().findOpaqueKey(key);
        if (stored != null) {
            return stored.account();
        }
        return route.anonymous() ? ANONYMOUS : null;
    }

    /**
     * Adds a statement to the pipeline; closes the session when too many are waiting.
     *
     * @param id the request id that the caller gave
     * @param statement the statement; null when it could not be parsed
     */
    public void submit(String id, Statement statement) {
        if (isEnded) {
            return;
        }
        if (pipeline.size() >= MAX_PIPELINED) {
            end();
            connection.close();
            return;
        }
        pipeline.addLast(new Submitted(id, statement));
        runNext();
    }

    private void runNext() {
        while (!isBusy && !isEnded && !pipeline.isEmpty()) {
            Submitted submitted = pipeline.removeFirst();
            isBusy = true;
            run(submitted.id(), submitted.statement());
        }
    }

    private void run(String id, Statement statement) {
        if (statement == null) {
            fail(id, SessionError.MALFORMED, "not understood");
        } else if (transaction != null) {
            runInTransaction(id, statement);
        } else {
            runOutsideTransaction(id, statement);
        }
    }

    private void runOutsideTransaction(String id, Statement statement) {
        if (handleLocally(id, statement)) {
            return;
        }
        boolean endsTransaction =
                statement instanceof Statement.Commit || statement instanceof Statement.Rollback;
        if (endsTransaction) {
            fail(id, SessionError.MALFORMED, "no transaction");
            return;
        }
        Prepared prepared = findPrepared(statement);
        if (statement instanceof Statement.Execute && prepared == null) {
            fail(id, SessionError.UNKNOWN_PREPARED, "no such prepared statement");
            return;
        }
        SessionError error = checkAccess();
        if (error != null) {
            boolean isUnleased = error == SessionError.BUSY;
            fail(id, error, isUnleased ? NO_LEASE : "refused by the configuration in force");
            return;
        }
        Route route = service.configuration().findRouteByHost(host);
        ClientAccountId account = findAccount(route);
        service.spendToken(
                account,
                route,
                rejection -> {
                    if (isEnded) {
                        isBusy = false;
                    } else if (rejection != null) {
                        fail(id, SessionError.BUSY, rejection);
                    } else {
                        executeAdmitted(id, statement, prepared, route, account);
                    }
                });
    }

    private void executeAdmitted(
            String id,
            Statement statement,
            Prepared prepared,
            Route route,
            ClientAccountId account) {
        if (statement instanceof Statement.Begin begin) {
            transaction = new OpenTransaction(service.engine(), account, route, begin.readOnly());
            complete(SessionResult.done(TransactionState.OPEN));
            return;
        }
        boolean writes = writes(statement, prepared);
        StatementExecutor.execute(
                service.engine(),
                new StatementExecutor.Request(id, statement, prepared, writes),
                account,
                route,
                state,
                result -> {
                    service.recordResult(id, host, account, route, statement, result);
                    if (writes && result.error() == null) {
                        state.recordCommit(route, result.position());
                    }
                    sendResult(result, TransactionState.NONE);
                });
    }

    /** Handles changes of settings and of prepared statements, which need no endpoint. */
    private boolean handleLocally(String id, Statement statement) {
        boolean known = true;
        if (statement instanceof Statement.SetValue set) {
            state.putSetting(set.name(), set.value());
            if (transaction != null) {
                transaction.markSettingsChanged();
            }
        } else if (statement instanceof Statement.Prepare prepare) {
            state.addPrepared(prepare.name(), prepare.prepared());
        } else if (statement instanceof Statement.ClosePrepared close) {
            known = state.removePrepared(close.name());
        } else {
            return false;
        }
        if (known) {
            complete(SessionResult.done(transactionState()));
        } else {
            fail(id, SessionError.UNKNOWN_PREPARED, "no such prepared statement");
        }
        return true;
    }

    private TransactionState transactionState() {
        if (transaction == null) {
            return TransactionState.NONE;
        }
        return transaction.hasFailed() ? TransactionState.FAILED : TransactionState.OPEN;
    }

    private Prepared findPrepared(Statement statement) {
        return statement instanceof Statement.Execute execute
                ? state.findPrepared(execute.name())
                : null;
    }

    private static boolean writes(Statement statement, Prepared prepared) {
        return statement instanceof Statement.Write || prepared != null && prepared.writes();
    }

    private void runInTransaction(String id, Statement statement) {
        if (statement instanceof Statement.Rollback) {
            transaction.rollBack();
            transaction = null;
            complete(SessionResult.done(TransactionState.NONE));
        } else if (statement instanceof Statement.Commit) {
            commit(id);
        } else if (transaction.hasFailed()) {
            SessionError error =
                    transaction.isAborted() ? SessionError.ABORTED : SessionError.MALFORMED;
            fail(id, error, transaction.takeAbortReason("the transaction has failed"));
        } else if (!handleLocally(id, statement)) {
            executeInTransaction(id, statement);
        }
    }

    /**
     * Returns whether the key still stands for the account of the open transaction, as far as is
     * known: without a lease the configuration tells nothing, and no statement is sent.
     */
    private boolean isKeyInForce() {
        return !service.isLeased()
                || transaction.accountId().equals(findAccount(transaction.route()));
    }

    private void commit(String id) {
        OpenTransaction committing = transaction;
        if (committing.hasFailed()) {
            String reason = committing.takeAbortReason("the transaction had failed");
            committing.rollBack();
            transaction = null;
            complete(SessionResult.failed(SessionError.ABORTED, reason, TransactionState.NONE));
            return;
        }
        if (!isKeyInForce()) {
            committing.rollBack();
            transaction = null;
            fail(id, SessionError.ABORTED, KEY_CHANGED);
            return;
        }
        Effect effect = committing.hasWritten() ? Effect.COMMIT : Effect.COMMIT_OF_READS;
        StatementExecutor.executeInTransaction(
                service.engine(),
                committing,
                new StatementExecutor.Request(id, new Statement.Commit(), null, false),
                effect,
                state,
                result -> {
                    service.recordResult(
                            id,
                            host,
                            committing.accountId(),
                            committing.route(),
                            new Statement.Commit(),
                            result);
                    if (result.error() == null && committing.hasWritten()) {
                        state.recordCommit(committing.route(), result.position());
                    }
                    committing.releaseAfterCommit(result.transaction() == TransactionState.NONE);
                    transaction = null;
                    sendResult(result, TransactionState.NONE);
                });
    }

    private void executeInTransaction(String id, Statement statement) {
        Prepared prepared = findPrepared(statement);
        boolean unknown = statement instanceof Statement.Execute && prepared == null;
        if (unknown || statement instanceof Statement.Begin) {
            transaction.rollBack();
            fail(
                    id,
                    unknown ? SessionError.UNKNOWN_PREPARED : SessionError.MALFORMED,
                    unknown ? "no such prepared statement" : "a transaction is open");
            return;
        }
        if (!isKeyInForce()) {
            transaction.rollBack();
            fail(id, SessionError.ABORTED, KEY_CHANGED);
            return;
        }
        OpenTransaction current = transaction;
        StatementExecutor.executeInTransaction(
                service.engine(),
                current,
                new StatementExecutor.Request(id, statement, prepared, writes(statement, prepared)),
                Effect.IN_TRANSACTION,
                state,
                result -> {
                    service.recordResult(
                            id, host, current.accountId(), current.route(), statement, result);
                    if (isEnded) {
                        current.rollBack();
                    }
                    sendResult(result, transactionState());
                });
    }

    private void sendResult(StatementExecutor.Result result, TransactionState after) {
        if (result.error() == null) {
            complete(
                    new SessionResult(
                            result.rows(), result.signature(), null, "", after, result.position()));
        } else {
            complete(
                    new SessionResult(
                            List.of(),
                            "",
                            result.error(),
                            result.detail(),
                            after,
                            result.position()));
        }
    }

    private void fail(String id, SessionError error, String detail) {
        service.logRejected(id, host, key, error, detail);
        complete(SessionResult.failed(error, detail, transactionState()));
    }

    private void complete(SessionResult result) {
        isBusy = false;
        if (isEnded) {
            return;
        }
        connection.sendResult(result);
        if (service.isClosing() && isIdle()) {
            end();
            connection.close();
            return;
        }
        runNext();
    }

    /**
     * Returns whether the session can be closed without aborting an operation.
     *
     * @return true without a statement in progress or waiting and without a transaction
     */
    boolean isIdle() {
        return !isBusy && transaction == null && pipeline.isEmpty();
    }

    /** Closes the session if it is idle; otherwise it is closed after its operation. */
    void closeWhenIdle() {
        if (isIdle() && !isEnded) {
            end();
            connection.close();
        }
    }

    /** Closes the session and rolls back its transaction, if it has one that is idle. */
    void closeIdleTransaction() {
        if (transaction != null && !isBusy && !isEnded) {
            end();
            connection.close();
        }
    }

    void tick(long nowNanos, long idleLimitNanos) {
        boolean idle =
                transaction != null
                        && !isBusy
                        && !transaction.hasFailed()
                        && transaction.idleNanos(nowNanos) > idleLimitNanos;
        if (idle) {
            transaction.rollBack();
        }
        if (transaction != null && !isBusy) {
            service.logRolledBack(host, transaction, transaction.rollBackIfEvacuated());
        }
    }

    /** Ends the session after its caller has disconnected; rolls back an open transaction. */
    public void end() {
        if (isEnded) {
            return;
        }
        isEnded = true;
        state.markCallerLeft();
        service.onEnded(this);
        if (transaction != null && !isBusy) {
            transaction.rollBack();
        }
    }
}
