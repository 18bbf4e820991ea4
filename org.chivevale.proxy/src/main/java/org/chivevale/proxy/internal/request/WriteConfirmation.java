package org.chivevale.proxy.internal.request;

import io.vertx.core.Future;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.Group;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.session.Mark;
import org.chivevale.core.session.SessionToken;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.WriteResult;
import org.chivevale.process.EventLoop;

/**
 * Waits until enough replicas hold a commit.
 *
 * <p>Invariant: it succeeds only when the database's promise is met, and gives up as soon as the
 * primary is replaced. Used on the event loop.
 */
final class WriteConfirmation {
    private static final long FIRST_WAIT_MILLIS = 1;
    private static final long LONGEST_WAIT_MILLIS = 16;

    private final RequestContext context;
    private final Group group;
    private final DatabaseConnection connection;
    private final long deadlineNanos;

    WriteConfirmation(
            RequestContext context,
            Group group,
            DatabaseConnection connection,
            long deadlineNanos) {
        this.context = context;
        this.group = group;
        this.connection = connection;
        this.deadlineNanos = deadlineNanos;
    }

    Future<WriteResult> await(WriteResult answer) {
        return await(answer, answer.replicasHolding(), FIRST_WAIT_MILLIS);
    }

    private Future<WriteResult> await(WriteResult answer, int holding, long waitMillis) {
        Database database = context.directory().configuration().database(group.id().database());
        int needed = database == null ? 0 : database.replicasForAcknowledgement();
        if (holding >= needed) {
            return Future.succeededFuture(answer);
        }
        boolean mayWait =
                context.directory()
                        .stillPrimary(
                                group.id(), group.term(), group.primary(), EventLoop.nowNanos());
        if (!mayWait) {
            return Future.failedFuture(
                    new DatabaseFailure(
                            DatabaseFailure.Kind.LOST_AFTER_COMMIT,
                            "",
                            "the primary was replaced before enough replicas held the write"));
        }
        return context.pause(
                        waitMillis,
                        deadlineNanos,
                        ResultCode.OUTCOME_UNKNOWN,
                        "too few replicas hold the write")
                .compose(
                        ignored ->
                                context.limit(
                                        connection.primaryStatus(), connection, deadlineNanos))
                .recover(
                        failure ->
                                Future.failedFuture(
                                        AttemptFailures.closeOnTimeout(failure, connection)))
                .compose(
                        status ->
                                await(
                                        answer,
                                        status.replicasHolding(answer.position()),
                                        Math.min(2 * waitMillis, LONGEST_WAIT_MILLIS)));
    }

    /** Returns the session after a write was acknowledged. */
    static SessionToken written(SessionToken session, Group group, long position) {
        return session.raise(group.id(), new Mark(group.term(), position, false));
    }

    /**
     * Says that a write's outcome is unknown; the session's reads go to the primary from now on.
     */
    static CallerAnswer unknown(SessionToken session, Group group, String message) {
        return CallerAnswer.failed(ResultCode.OUTCOME_UNKNOWN, Outcome.UNKNOWN, message)
                .withSession(session.raise(group.id(), new Mark(group.term(), 0, true)));
    }
}
