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
import org.chivevale.proxy.internal.session.SessionCalls;
import org.chivevale.proxy.internal.session.SessionState;

/**
 * One caller's session: which statement is open, in which transaction, with which values.
 *
 * <p>Invariants: statements are answered in the order in which they came, one at a time; key and
 * route are looked up anew at the start of each operation; a transaction keeps the route that was
 * in force at its start. Used on the event loop.
 */
public final class CallerSession {
    private static final int PIPELINE_LIMIT = 64;
    private static final String NO_REQUEST = "-";
    private static final ClientAccountId ANONYMOUS = new ClientAccountId("anonymous");

    private final SessionService service;
    private final CallerPort port;
    private final SessionState state = new SessionState();
    private final Deque<Submitted> pipeline = new ArrayDeque<>();
    private String host = "";
    private String key = "";
    private OpenTransaction transaction;
    private boolean working;
    private boolean ended;

    private record Submitted(String id, Statement statement) {}

    CallerSession(SessionService service, CallerPort port) {
        this.service = service;
        this.port = port;
    }

    /**
     * Opens the session; a process that has just started waits a little for its first lease.
     *
     * @param database the name that the caller gave
     * @param callerKey the caller's key
     * @param opened gets null when the caller may go on, or why not
     */
    public void open(String database, String callerKey, Consumer<SessionError> opened) {
        host = database;
        key = callerKey;
        working = true;
        service.whenLeased(() -> greet(opened));
    }

    private void greet(Consumer<SessionError> opened) {
        if (ended) {
            return;
        }
        SessionError refusal = service.leased() ? refusal() : SessionError.BUSY;
        if (refusal != null) {
            service.refused(NO_REQUEST, host, key, refusal, "at the session's start");
        }
        working = false;
        opened.accept(refusal);
        next();
    }

    private SessionError refusal() {
        Configuration configuration = service.configuration();
        Route route = configuration.findRouteByHost(host);
        if (route == null) {
            return SessionError.NO_DATABASE;
        }
        return account(route) == null ? SessionError.DENIED : null;
    }

    private ClientAccountId account(Route route) {
        StoredKey stored = service.configuration().findOpaqueKey(key);
        if (stored != null) {
            return stored.account();
        }
        return route.anonymous() ? ANONYMOUS : null;
    }

    /**
     * Takes a statement.
     *
     * @param id the caller's id
     * @param statement the statement; null for one that is not understood
     */
    public void submit(String id, Statement statement) {
        if (ended) {
            return;
        }
        if (pipeline.size() >= PIPELINE_LIMIT) {
            end();
            port.close();
            return;
        }
        pipeline.addLast(new Submitted(id, statement));
        next();
    }

    private void next() {
        while (!working && !ended && !pipeline.isEmpty()) {
            Submitted one = pipeline.removeFirst();
            working = true;
            run(one.id(), one.statement());
        }
    }

    private void run(String id, Statement statement) {
        if (statement == null) {
            fail(id, SessionError.MALFORMED, "not understood");
        } else if (transaction != null) {
            inTransaction(id, statement);
        } else {
            outside(id, statement);
        }
    }

    private void outside(String id, Statement statement) {
        if (keepLocally(id, statement)) {
            return;
        }
        boolean endsNothing =
                statement instanceof Statement.Commit || statement instanceof Statement.Rollback;
        if (endsNothing) {
            fail(id, SessionError.MALFORMED, "no transaction");
            return;
        }
        Prepared prepared = prepared(statement);
        if (statement instanceof Statement.Execute && prepared == null) {
            fail(id, SessionError.UNKNOWN_PREPARED, "no such prepared statement");
            return;
        }
        SessionError refusal = refusal();
        if (refusal != null) {
            fail(id, refusal, "refused by the configuration in force");
            return;
        }
        Route route = service.configuration().findRouteByHost(host);
        ClientAccountId account = account(route);
        service.admit(
                account,
                route,
                refused -> {
                    if (refused != null) {
                        fail(id, SessionError.BUSY, refused);
                    } else {
                        begin(id, statement, prepared, route, account);
                    }
                });
    }

    private void begin(
            String id,
            Statement statement,
            Prepared prepared,
            Route route,
            ClientAccountId account) {
        if (statement instanceof Statement.Begin begin) {
            transaction = new OpenTransaction(service.engine(), account, route, begin.readOnly());
            answer(SessionAnswer.done(TransactionState.OPEN));
            return;
        }
        boolean writes = writes(statement, prepared);
        SessionCalls.single(
                service.engine(),
                new SessionCalls.Call(id, statement, prepared, writes),
                account,
                route,
                state,
                outcome -> {
                    service.decided(id, host, account, route, statement, outcome);
                    if (writes && outcome.error() == null) {
                        state.committed(outcome.position());
                    }
                    deliver(outcome, TransactionState.NONE);
                });
    }

    /** Values and names of prepared statements need no endpoint. */
    private boolean keepLocally(String id, Statement statement) {
        boolean known = true;
        if (statement instanceof Statement.SetValue set) {
            state.set(set.name(), set.value());
            if (transaction != null) {
                transaction.valuesChanged();
            }
        } else if (statement instanceof Statement.Prepare prepare) {
            state.prepare(prepare.name(), prepare.prepared());
        } else if (statement instanceof Statement.ClosePrepared close) {
            known = state.close(close.name());
        } else {
            return false;
        }
        if (known) {
            answer(SessionAnswer.done(transactionState()));
        } else {
            fail(id, SessionError.UNKNOWN_PREPARED, "no such prepared statement");
        }
        return true;
    }

    private TransactionState transactionState() {
        if (transaction == null) {
            return TransactionState.NONE;
        }
        return transaction.failed() ? TransactionState.FAILED : TransactionState.OPEN;
    }

    private Prepared prepared(Statement statement) {
        return statement instanceof Statement.Execute execute
                ? state.prepared(execute.name())
                : null;
    }

    private static boolean writes(Statement statement, Prepared prepared) {
        return statement instanceof Statement.Write || prepared != null && prepared.writes();
    }

    private void inTransaction(String id, Statement statement) {
        if (statement instanceof Statement.Rollback) {
            transaction.rollBack();
            transaction = null;
            answer(SessionAnswer.done(TransactionState.NONE));
        } else if (statement instanceof Statement.Commit) {
            commit(id);
        } else if (transaction.failed()) {
            fail(id, SessionError.MALFORMED, "the transaction has failed");
        } else if (!keepLocally(id, statement)) {
            inner(id, statement);
        }
    }

    private void commit(String id) {
        OpenTransaction closing = transaction;
        if (closing.failed()) {
            closing.rollBack();
            transaction = null;
            answer(
                    SessionAnswer.failed(
                            SessionError.ABORTED,
                            "the transaction had failed",
                            TransactionState.NONE));
            return;
        }
        Effect effect = closing.wrote() ? Effect.COMMIT : Effect.COMMIT_OF_READS;
        SessionCalls.inTransaction(
                service.engine(),
                closing,
                new SessionCalls.Call(id, new Statement.Commit(), null, false),
                effect,
                state,
                outcome -> {
                    service.decided(
                            id,
                            host,
                            closing.accountId(),
                            closing.route(),
                            new Statement.Commit(),
                            outcome);
                    if (outcome.error() == null && closing.wrote()) {
                        state.committed(outcome.position());
                    }
                    closing.finish(outcome.transaction() == TransactionState.NONE);
                    transaction = null;
                    deliver(outcome, TransactionState.NONE);
                });
    }

    private void inner(String id, Statement statement) {
        Prepared prepared = prepared(statement);
        boolean unknown = statement instanceof Statement.Execute && prepared == null;
        if (unknown || statement instanceof Statement.Begin) {
            transaction.rollBack();
            fail(
                    id,
                    unknown ? SessionError.UNKNOWN_PREPARED : SessionError.MALFORMED,
                    unknown ? "no such prepared statement" : "a transaction is open");
            return;
        }
        OpenTransaction current = transaction;
        SessionCalls.inTransaction(
                service.engine(),
                current,
                new SessionCalls.Call(id, statement, prepared, writes(statement, prepared)),
                Effect.IN_TRANSACTION,
                state,
                outcome -> {
                    service.decided(
                            id, host, current.accountId(), current.route(), statement, outcome);
                    if (ended) {
                        current.rollBack();
                    }
                    deliver(outcome, transactionState());
                });
    }

    private void deliver(SessionCalls.Result outcome, TransactionState after) {
        if (outcome.error() == null) {
            answer(
                    new SessionAnswer(
                            outcome.rows(),
                            outcome.signature(),
                            null,
                            "",
                            after,
                            outcome.position()));
        } else {
            answer(
                    new SessionAnswer(
                            List.of(),
                            "",
                            outcome.error(),
                            outcome.detail(),
                            after,
                            outcome.position()));
        }
    }

    private void fail(String id, SessionError error, String detail) {
        service.refused(id, host, key, error, detail);
        answer(SessionAnswer.failed(error, detail, transactionState()));
    }

    private void answer(SessionAnswer answer) {
        working = false;
        if (ended) {
            return;
        }
        port.answer(answer);
        if (service.closing() && resting()) {
            end();
            port.close();
            return;
        }
        next();
    }

    /**
     * Tells whether the session may be closed without a loss.
     *
     * @return true between operations
     */
    boolean resting() {
        return !working && transaction == null && pipeline.isEmpty();
    }

    /** Closes the session if it rests; otherwise it closes after its operation. */
    void closeWhenResting() {
        if (resting() && !ended) {
            end();
            port.close();
        }
    }

    /** Closes a session with an open transaction, which is rolled back. */
    void closeInTransaction() {
        if (transaction != null && !working && !ended) {
            end();
            port.close();
        }
    }

    void tick(long nowNanos, long idleLimitNanos) {
        boolean idle =
                transaction != null
                        && !working
                        && !transaction.failed()
                        && transaction.idleNanos(nowNanos) > idleLimitNanos;
        if (idle) {
            transaction.rollBack();
        }
    }

    /** Ends the session when its caller has gone. */
    public void end() {
        if (ended) {
            return;
        }
        ended = true;
        service.ended(this);
        if (transaction != null && !working) {
            transaction.rollBack();
        }
    }
}
