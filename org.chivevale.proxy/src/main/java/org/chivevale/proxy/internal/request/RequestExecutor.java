package org.chivevale.proxy.internal.request;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Group;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.session.SessionToken;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.ResultLimits;
import org.chivevale.database.ResultsJson;
import org.chivevale.database.Statement;
import org.chivevale.database.StatementResult;
import org.chivevale.database.WriteResult;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.internal.pool.InstancePool;

/**
 * Executes single requests and the steps of interactive transactions on endpoints.
 *
 * <p>Invariant: a commit is acknowledged by the same rule as any other write. Used on the event
 * loop.
 */
public final class RequestExecutor {
    private static final long RETRY_DELAY_MILLIS = 10;

    private final RequestContext context;

    /**
     * A transaction that is open on a primary.
     *
     * @param group the group as it was when the transaction began
     * @param pool the pool to release the connection to
     * @param connection the connection that the transaction occupies
     */
    public record BegunTransaction(Group group, InstancePool pool, DatabaseConnection connection) {}

    /**
     * Creates an executor on the proxy's pools and configuration.
     *
     * @param context the parts of the proxy that execution uses
     */
    public RequestExecutor(RequestContext context) {
        this.context = context;
    }

    /**
     * Begins a transaction on the primary; retries until the deadline when the database fails.
     *
     * @param account the client account
     * @param group the database group
     * @param deadlineNanos the request's deadline as a monotonic time
     * @return the open transaction
     */
    public Future<BegunTransaction> begin(
            ClientAccountId account, GroupId group, long deadlineNanos) {
        return context.awaitPermittedPrimary(account, group, deadlineNanos)
                .compose(
                        current -> {
                            InstancePool pool = context.pools().primaryPool(current);
                            return pool.acquire(account, deadlineNanos)
                                    .compose(
                                            connection ->
                                                    beginOn(
                                                            account,
                                                            current,
                                                            pool,
                                                            connection,
                                                            deadlineNanos));
                        })
                .recover(failure -> retryBegin(account, group, deadlineNanos, failure));
    }

    private Future<BegunTransaction> beginOn(
            ClientAccountId account,
            Group group,
            InstancePool pool,
            DatabaseConnection connection,
            long deadlineNanos) {
        if (!context.isOpen(group.id(), group.primary())) {
            pool.release(connection);
            return Future.failedFuture(
                    new DatabaseFailure(
                            DatabaseFailure.Kind.LOST_BEFORE_COMMIT,
                            "",
                            "the primary of group " + group.id() + " gets no new work"));
        }
        return withTimeout(connection.begin(account, group.term()), connection, deadlineNanos)
                .onFailure(
                        failure -> {
                            connection.close();
                            pool.release(connection);
                        })
                .map(ignored -> new BegunTransaction(group, pool, connection));
    }

    private Future<BegunTransaction> retryBegin(
            ClientAccountId account, GroupId group, long deadlineNanos, Throwable failure) {
        if (!(failure instanceof DatabaseFailure)) {
            return Future.failedFuture(failure);
        }
        return context.delay(
                        RETRY_DELAY_MILLIS,
                        deadlineNanos,
                        ResultCode.CONNECTION_LOST,
                        failure.getMessage())
                .compose(ignored -> begin(account, group, deadlineNanos));
    }

    /**
     * Limits the duration of a call to an endpoint; closes the connection on timeout.
     *
     * @param call the call in flight
     * @param connection the connection that the call uses
     * @param deadlineNanos the monotonic time by which it must end
     * @param <T> the type of the call's result
     * @return the call's result; fails with a lost connection on timeout
     */
    public <T> Future<T> withTimeout(
            Future<T> call, DatabaseConnection connection, long deadlineNanos) {
        return context.withAttemptTimeout(call, connection, deadlineNanos)
                .recover(
                        failure ->
                                Future.failedFuture(
                                        AttemptFailures.closeOnTimeout(failure, connection)));
    }

    private static Future<StatementResult> executeIf(
            BooleanSupplier mayContinue,
            DatabaseConnection connection,
            Statement statement,
            ResultLimits limits) {
        return mayContinue.getAsBoolean()
                ? connection.execute(statement, limits)
                : Future.failedFuture(
                        new DatabaseFailure(
                                DatabaseFailure.Kind.LOST_BEFORE_COMMIT,
                                "",
                                "the data centre of the transaction's endpoint was evacuated"));
    }

    /**
     * Executes statements in a transaction, one after the other.
     *
     * @param connection the transaction's connection
     * @param statements the statements
     * @param limits limits on the size of the results
     * @param deadlineNanos the monotonic time by which they must end
     * @param mayContinue checked before each statement is sent
     * @return the response with their results
     */
    public Future<CallerResponse> executeStatements(
            DatabaseConnection connection,
            List<Statement> statements,
            ResultLimits limits,
            long deadlineNanos,
            BooleanSupplier mayContinue) {
        Future<List<StatementResult>> results = Future.succeededFuture(new ArrayList<>());
        for (Statement statement : statements) {
            results =
                    results.compose(
                            done ->
                                    withTimeout(
                                                    executeIf(
                                                            mayContinue,
                                                            connection,
                                                            statement,
                                                            limits),
                                                    connection,
                                                    deadlineNanos)
                                            .map(
                                                    result -> {
                                                        done.add(result);
                                                        return done;
                                                    }));
        }
        return results.map(
                done ->
                        CallerResponse.success(
                                null, ResultsJson.write(done), CallerResponse.PRIMARY, false, -1));
    }

    /**
     * Commits a transaction and waits until the commit may be acknowledged.
     *
     * @param group the group as it was when the transaction began
     * @param account the client account
     * @param connection the transaction's connection
     * @param session the session when the transaction began
     * @param deadlineNanos the monotonic time by which it must end
     * @return the response to the caller; fails only when nothing was committed
     */
    public Future<CallerResponse> commit(
            Group group,
            ClientAccountId account,
            DatabaseConnection connection,
            SessionToken session,
            long deadlineNanos) {
        long now = EventLoop.nowNanos();
        boolean mayCommit =
                context.directory().isStillPrimary(group.id(), group.term(), group.primary(), now);
        if (!mayCommit) {
            connection.close();
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.TRANSACTION_GONE,
                            "the lease ended or the primary of group "
                                    + group.id()
                                    + " was replaced"));
        }
        WriteConfirmation confirmation =
                new WriteConfirmation(context, group, connection, deadlineNanos);
        return withTimeout(connection.commit(), connection, deadlineNanos)
                .compose(confirmation::await)
                .map(result -> acknowledgeCommit(result, group, session))
                .recover(
                        failure ->
                                Future.succeededFuture(
                                        commitFailureResponse(failure, group, session)));
    }

    private CallerResponse acknowledgeCommit(
            WriteResult result, Group group, SessionToken session) {
        boolean mayAcknowledge =
                context.directory()
                        .isStillPrimary(
                                group.id(), group.term(), group.primary(), EventLoop.nowNanos());
        if (!mayAcknowledge) {
            throw new DatabaseFailure(
                    DatabaseFailure.Kind.LOST_AFTER_COMMIT,
                    "",
                    "the lease ended or the primary was replaced before the commit was"
                            + " acknowledged");
        }
        return CallerResponse.success(
                WriteConfirmation.sessionAfterWrite(session, group, result.position()),
                result.resultsJson(),
                CallerResponse.PRIMARY,
                false,
                -1);
    }

    private static CallerResponse commitFailureResponse(
            Throwable failure, Group group, SessionToken session) {
        DatabaseFailure.Kind kind = AttemptFailures.kindOf(failure);
        if (kind == DatabaseFailure.Kind.STATEMENT) {
            return CallerResponse.statementFailure(
                    ((DatabaseFailure) failure).sqlState(), failure.getMessage());
        }
        if (kind == DatabaseFailure.Kind.LOST_BEFORE_COMMIT) {
            return CallerResponse.failure(
                    ResultCode.CONNECTION_LOST, Outcome.NOT_RUN, failure.getMessage());
        }
        return WriteConfirmation.unknownOutcome(session, group, failure.getMessage());
    }

    /**
     * Creates the response to a rollback.
     *
     * @param session the session, unchanged
     * @return the response to the caller
     */
    public CallerResponse rollbackResponse(SessionToken session) {
        return new CallerResponse(
                ResultCode.OK, Outcome.NOT_RUN, "rolled back", "", session, null, "", false, -1);
    }

    /**
     * Executes a request outside interactive transactions.
     *
     * @param request the request
     * @return the response to the caller
     */
    public Future<CallerResponse> execute(CallerRequest request) {
        return request.kind() == StatementKind.READ
                ? new ReadExecutor(context, request).execute()
                : new WriteExecutor(context, request).execute();
    }
}
