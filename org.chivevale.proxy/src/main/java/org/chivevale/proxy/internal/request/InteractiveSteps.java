package org.chivevale.proxy.internal.request;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
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
 * Runs the steps of interactive transactions at endpoints.
 *
 * <p>Invariant: a commit is acknowledged by the same rule as any other write. Used on the event
 * loop.
 */
public final class InteractiveSteps {
    private static final long RETRY_MILLIS = 10;

    private final RequestContext context;

    /**
     * A transaction that has begun at a primary.
     *
     * @param group the group with the primary
     * @param pool where the connection goes back to
     * @param connection the connection it holds
     */
    public record Begun(Group group, InstancePool pool, DatabaseConnection connection) {}

    /**
     * Creates the steps.
     *
     * @param context the rest of the proxy
     */
    public InteractiveSteps(RequestContext context) {
        this.context = context;
    }

    /**
     * Begins a transaction at the primary.
     *
     * @param account the client account
     * @param group the database group
     * @param deadlineNanos the request's deadline
     * @return the begun transaction
     */
    public Future<Begun> begin(ClientAccountId account, GroupId group, long deadlineNanos) {
        return context.awaitPrimary(group, deadlineNanos)
                .compose(
                        found -> {
                            InstancePool pool = context.pools().primary(found);
                            return pool.acquire(account, deadlineNanos)
                                    .compose(
                                            connection ->
                                                    beginOn(
                                                            account,
                                                            found,
                                                            pool,
                                                            connection,
                                                            deadlineNanos));
                        })
                .recover(failure -> beginAgain(account, group, deadlineNanos, failure));
    }

    private Future<Begun> beginOn(
            ClientAccountId account,
            Group group,
            InstancePool pool,
            DatabaseConnection connection,
            long deadlineNanos) {
        return limit(connection.begin(account, group.term()), connection, deadlineNanos)
                .onFailure(
                        failure -> {
                            connection.close();
                            pool.release(connection);
                        })
                .map(ignored -> new Begun(group, pool, connection));
    }

    private Future<Begun> beginAgain(
            ClientAccountId account, GroupId group, long deadlineNanos, Throwable failure) {
        if (!(failure instanceof DatabaseFailure)) {
            return Future.failedFuture(failure);
        }
        return context.pause(
                        RETRY_MILLIS,
                        deadlineNanos,
                        ResultCode.CONNECTION_LOST,
                        failure.getMessage())
                .compose(ignored -> begin(account, group, deadlineNanos));
    }

    /**
     * Ends a call to an endpoint that takes too long by closing its connection.
     *
     * @param call the running call
     * @param connection its connection
     * @param deadlineNanos the monotonic time by which it must end
     * @param <T> what it gives
     * @return the call, limited
     */
    public <T> Future<T> limit(Future<T> call, DatabaseConnection connection, long deadlineNanos) {
        return context.limit(call, connection, deadlineNanos)
                .recover(
                        failure ->
                                Future.failedFuture(
                                        AttemptFailures.closeOnTimeout(failure, connection)));
    }

    /**
     * Runs statements in a transaction, one after the other.
     *
     * @param connection the transaction's connection
     * @param statements the statements
     * @param limits limits on the answer
     * @param deadlineNanos the monotonic time by which they must end
     * @return their results
     */
    public Future<CallerAnswer> run(
            DatabaseConnection connection,
            List<Statement> statements,
            ResultLimits limits,
            long deadlineNanos) {
        Future<List<StatementResult>> results = Future.succeededFuture(new ArrayList<>());
        for (Statement statement : statements) {
            results =
                    results.compose(
                            done ->
                                    limit(
                                                    connection.execute(statement, limits),
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
                        CallerAnswer.ran(
                                null, ResultsJson.write(done), CallerAnswer.PRIMARY, false, -1));
    }

    /**
     * Commits a transaction and waits until the commit may be acknowledged.
     *
     * @param group the group as it was when the transaction began
     * @param account the client account
     * @param connection the transaction's connection
     * @param session what the session had seen when the transaction began
     * @param deadlineNanos the monotonic time by which it must end
     * @return what the caller is told; fails only when nothing was committed
     */
    public Future<CallerAnswer> commit(
            Group group,
            ClientAccountId account,
            DatabaseConnection connection,
            SessionToken session,
            long deadlineNanos) {
        long asked = EventLoop.nowNanos();
        boolean mayCommit =
                context.directory().stillPrimary(group.id(), group.term(), group.primary(), asked);
        if (!mayCommit) {
            connection.close();
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.TRANSACTION_GONE,
                            "group " + group.id() + " changed its primary"));
        }
        WriteConfirmation confirmation =
                new WriteConfirmation(context, group, connection, deadlineNanos);
        return limit(connection.commit(), connection, deadlineNanos)
                .compose(confirmation::await)
                .map(answer -> acknowledged(answer, group, session))
                .recover(
                        failure ->
                                Future.succeededFuture(notAcknowledged(failure, group, session)));
    }

    private CallerAnswer acknowledged(WriteResult answer, Group group, SessionToken session) {
        boolean may =
                context.directory()
                        .stillPrimary(
                                group.id(), group.term(), group.primary(), EventLoop.nowNanos());
        if (!may) {
            throw new DatabaseFailure(
                    DatabaseFailure.Kind.LOST_AFTER_COMMIT,
                    "",
                    "the primary was replaced before the commit was acknowledged");
        }
        return CallerAnswer.ran(
                WriteConfirmation.written(session, group, answer.position()),
                answer.resultsJson(),
                CallerAnswer.PRIMARY,
                false,
                -1);
    }

    private static CallerAnswer notAcknowledged(
            Throwable failure, Group group, SessionToken session) {
        DatabaseFailure.Kind kind = AttemptFailures.kind(failure);
        if (kind == DatabaseFailure.Kind.STATEMENT) {
            return CallerAnswer.statementFailed(
                    ((DatabaseFailure) failure).sqlState(), failure.getMessage());
        }
        if (kind == DatabaseFailure.Kind.LOST_BEFORE_COMMIT) {
            return CallerAnswer.failed(
                    ResultCode.CONNECTION_LOST, Outcome.NOT_RUN, failure.getMessage());
        }
        return WriteConfirmation.unknown(session, group, failure.getMessage());
    }

    /**
     * Says that a transaction was rolled back.
     *
     * @param session the session, unchanged
     * @return what the caller is told
     */
    public CallerAnswer rolledBack(SessionToken session) {
        return new CallerAnswer(
                ResultCode.OK, Outcome.NOT_RUN, "rolled back", "", session, null, "", false, -1);
    }

    /**
     * Runs a request that is complete in itself.
     *
     * @param request the request
     * @return what the caller is told
     */
    public Future<CallerAnswer> runOnce(CallerRequest request) {
        return request.kind() == StatementKind.READ
                ? new ReadExecutor(context, request).call()
                : new WriteExecutor(context, request).call();
    }
}
