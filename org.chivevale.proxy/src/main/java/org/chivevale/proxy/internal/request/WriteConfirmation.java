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
 * Waits until enough replicas have received a commit.
 *
 * <p>Invariant: the wait succeeds only when as many replicas hold the commit as the database's
 * durability guarantee requires, and fails as soon as the lease ends or the primary is replaced.
 * Used on the event loop.
 */
final class WriteConfirmation {
    private static final long INITIAL_POLL_MILLIS = 1;
    private static final long MAX_POLL_MILLIS = 16;

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

    Future<WriteResult> await(WriteResult result) {
        return await(result, result.replicasHolding(), INITIAL_POLL_MILLIS);
    }

    private Future<WriteResult> await(WriteResult result, int replicasHolding, long pollMillis) {
        Database database = context.directory().configuration().database(group.id().database());
        int required = database == null ? 0 : database.replicasForAcknowledgement();
        if (replicasHolding >= required) {
            return Future.succeededFuture(result);
        }
        long now = EventLoop.nowNanos();
        boolean mayPoll =
                context.directory().isStillPrimary(group.id(), group.term(), group.primary(), now)
                        && context.directory()
                                .availability()
                                .mayContinue(group.id(), group.primary(), now);
        if (!mayPoll) {
            return Future.failedFuture(
                    new DatabaseFailure(
                            DatabaseFailure.Kind.LOST_AFTER_COMMIT,
                            "",
                            "the lease ended or the primary was replaced or evacuated before"
                                    + " enough replicas received the write"));
        }
        return context.delay(
                        pollMillis,
                        deadlineNanos,
                        ResultCode.OUTCOME_UNKNOWN,
                        "too few replicas have received the write")
                .compose(
                        ignored ->
                                context.withAttemptTimeout(
                                        connection.primaryStatus(), connection, deadlineNanos))
                .recover(
                        failure ->
                                Future.failedFuture(
                                        AttemptFailures.closeOnTimeout(failure, connection)))
                .compose(
                        status ->
                                await(
                                        result,
                                        status.replicasHolding(result.position()),
                                        Math.min(2 * pollMillis, MAX_POLL_MILLIS)));
    }

    /** Returns the session after an acknowledged write. */
    static SessionToken sessionAfterWrite(SessionToken session, Group group, long position) {
        return session.raise(group.id(), new Mark(group.term(), position, false));
    }

    /**
     * Creates the response to a write with an unknown outcome.
     *
     * <p>The session's reads go to the primary until one of them gives a new position, because the
     * position of the write is unknown.
     */
    static CallerResponse unknownOutcome(SessionToken session, Group group, String message) {
        return CallerResponse.failure(ResultCode.OUTCOME_UNKNOWN, Outcome.UNKNOWN, message)
                .withSession(session.raise(group.id(), new Mark(group.term(), 0, true)));
    }
}
