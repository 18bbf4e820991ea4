package org.chivevale.proxy.internal.request;

import io.vertx.core.Future;
import org.chivevale.core.config.Group;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.session.Mark;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.ResultLimits;
import org.chivevale.database.WriteRequest;
import org.chivevale.database.WriteResult;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.pool.InstancePool;

/**
 * Runs one write until it is acknowledged, refused, or its deadline has passed.
 *
 * <p>Invariants: it is acknowledged only while the lease names the primary and term that it ran
 * under, and only once enough replicas hold it. "Not run" is only said when no attempt can have an
 * effect: a commit whose end was not seen is settled by running the request again with its id, and
 * otherwise the outcome is unknown. Used on the event loop, once.
 */
final class WriteExecutor {
    private static final long RETRY_MILLIS = 10;

    private final RequestContext context;
    private final CallerRequest request;
    private boolean maybeCommitted;

    WriteExecutor(RequestContext context, CallerRequest request) {
        this.context = context;
        this.request = request;
    }

    Future<CallerAnswer> call() {
        return attempt().recover(failure -> Future.succeededFuture(refusal(failure)));
    }

    private Future<CallerAnswer> attempt() {
        return context.awaitPrimary(request.group(), request.deadlineNanos())
                .compose(this::attemptAt);
    }

    private Future<CallerAnswer> attemptAt(Group group) {
        Mark mark = request.sessionOrEmpty().mark(request.group());
        if (mark != null && mark.term() > group.term()) {
            return again(ResultCode.PRIMARY_MISSING, "group " + group.id() + " changes its term");
        }
        InstancePool pool = context.pools().primary(group);
        return pool.acquire(request.account(), request.deadlineNanos())
                .compose(connection -> writeOn(connection, group, pool))
                .recover(this::afterFailure);
    }

    private Future<CallerAnswer> writeOn(
            DatabaseConnection connection, Group group, InstancePool pool) {
        long asked = EventLoop.nowNanos();
        boolean mayAct =
                context.directory().stillPrimary(group.id(), group.term(), group.primary(), asked);
        if (!mayAct) {
            pool.release(connection);
            return again(ResultCode.PRIMARY_MISSING, "group " + group.id());
        }
        WriteRequest write =
                new WriteRequest(
                        request.account(),
                        group.term(),
                        request.record(),
                        request.statements(),
                        limits());
        Future<WriteResult> writing =
                request.kind() == StatementKind.SCHEMA
                        ? connection.changeSchema(write)
                        : connection.write(write);
        return context.limit(writing, connection, request.deadlineNanos())
                .recover(
                        failure ->
                                Future.failedFuture(
                                        AttemptFailures.closeOnTimeout(failure, connection)))
                .compose(
                        answer -> {
                            maybeCommitted = true;
                            return new WriteConfirmation(
                                            context, group, connection, request.deadlineNanos())
                                    .await(answer);
                        })
                .onComplete(ended -> pool.release(connection))
                .compose(answer -> committed(answer, group, pool, asked));
    }

    private ResultLimits limits() {
        ProxySettings.Limits limits = context.settings().limits();
        int bytes = request.record() == null ? limits.answerBytes() : limits.storedAnswerBytes();
        return new ResultLimits(limits.rows(), bytes);
    }

    private Future<CallerAnswer> committed(
            WriteResult answer, Group group, InstancePool pool, long askedNanos) {
        long now = EventLoop.nowNanos();
        pool.stats().answered(now - askedNanos, now);
        pool.stats().reached(answer.position(), 0);
        boolean mayAcknowledge =
                context.directory().stillPrimary(group.id(), group.term(), group.primary(), now);
        if (!mayAcknowledge) {
            return settle("the primary was replaced before the write was acknowledged");
        }
        context.histories()
                .sample(context.group(group.id()), group.term(), askedNanos, answer.position());
        return Future.succeededFuture(
                CallerAnswer.ran(
                        WriteConfirmation.written(
                                request.sessionOrEmpty(), group, answer.position()),
                        answer.resultsJson(),
                        CallerAnswer.PRIMARY,
                        answer.repeated(),
                        0));
    }

    private Future<CallerAnswer> afterFailure(Throwable failure) {
        DatabaseFailure.Kind kind = AttemptFailures.kind(failure);
        if (kind == null) {
            return Future.failedFuture(failure);
        }
        return switch (kind) {
            case LOST_AFTER_COMMIT -> {
                maybeCommitted = true;
                yield settle(failure.getMessage());
            }
            case LOST_BEFORE_COMMIT, TERM_REPLACED, ROLE_MISSING ->
                    again(ResultCode.CONNECTION_LOST, failure.getMessage());
            case ANSWER_TOO_LARGE -> refuse(ResultCode.ANSWER_TOO_LARGE, failure.getMessage());
            case REQUEST_ID_REUSED -> refuse(ResultCode.REQUEST_ID_REUSED, failure.getMessage());
            default -> {
                if (AttemptFailures.isTransient(failure)) {
                    yield again(ResultCode.STATEMENT_FAILED, failure.getMessage());
                }
                yield Future.failedFuture(failure);
            }
        };
    }

    /** Runs the request again after a commit whose end was not seen, where that can't double it. */
    private Future<CallerAnswer> settle(String message) {
        boolean mayRunAgain = request.record() != null || request.repeatable();
        if (!mayRunAgain) {
            return refuse(ResultCode.OUTCOME_UNKNOWN, message);
        }
        return again(ResultCode.OUTCOME_UNKNOWN, message);
    }

    private Future<CallerAnswer> again(ResultCode late, String message) {
        return context.pause(RETRY_MILLIS, request.deadlineNanos(), late, message)
                .compose(ignored -> attempt());
    }

    private static Future<CallerAnswer> refuse(ResultCode code, String message) {
        return Future.failedFuture(new ChivevaleException(code, message));
    }

    /** Says truthfully what became of a request that was not acknowledged. */
    private CallerAnswer refusal(Throwable failure) {
        if (failure instanceof ChivevaleException known
                && known.code() == ResultCode.REQUEST_ID_REUSED) {
            return CallerAnswer.failed(known);
        }
        if (maybeCommitted) {
            return WriteConfirmation.unknown(
                    request.sessionOrEmpty(), context.group(request.group()), failure.getMessage());
        }
        if (failure instanceof DatabaseFailure refused) {
            return CallerAnswer.statementFailed(refused.sqlState(), failure.getMessage());
        }
        if (failure instanceof ChivevaleException known) {
            return CallerAnswer.failed(known.code(), Outcome.NOT_RUN, known.getMessage());
        }
        return CallerAnswer.failed(
                ResultCode.INTERNAL, Outcome.UNKNOWN, String.valueOf(failure.getMessage()));
    }
}
