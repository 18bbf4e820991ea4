package org.chivevale.proxy.internal.request;

import io.vertx.core.Future;
import org.chivevale.core.config.Group;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.session.Mark;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.database.AnswerLimits;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.WriteAnswer;
import org.chivevale.database.WriteRequest;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.pool.InstancePool;

/**
 * Executes one write until it is acknowledged, rejected, or its deadline has passed.
 *
 * <p>Invariants: a write is acknowledged only while the lease covers the primary and term that it
 * ran under, and only after enough replicas have received it. The outcome "not run" is reported
 * only when no attempt can have taken effect: a commit whose result was lost is resolved by
 * retrying the request with its id; without a retry the outcome is unknown. Used on the event loop,
 * for a single request.
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
            return again(
                    ResultCode.PRIMARY_MISSING, "group " + group.id() + " is changing its term");
        }
        InstancePool pool = context.pools().primary(group);
        return pool.acquire(request.account(), request.deadlineNanos())
                .compose(connection -> writeOn(connection, group, pool))
                .recover(this::afterFailure);
    }

    private Future<CallerAnswer> writeOn(
            DatabaseConnection connection, Group group, InstancePool pool) {
        long sentAtNanos = EventLoop.nowNanos();
        boolean mayWrite =
                context.directory()
                        .stillPrimary(group.id(), group.term(), group.primary(), sentAtNanos);
        if (!mayWrite) {
            pool.release(connection);
            return again(
                    ResultCode.PRIMARY_MISSING,
                    "the lease ended or the primary of group " + group.id() + " was replaced");
        }
        WriteRequest write =
                new WriteRequest(
                        request.account(),
                        group.term(),
                        request.record(),
                        request.statements(),
                        limits());
        Future<WriteAnswer> writing =
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
                .compose(answer -> committed(answer, group, pool, sentAtNanos));
    }

    private AnswerLimits limits() {
        ProxySettings.Limits limits = context.settings().limits();
        int bytes = request.record() == null ? limits.answerBytes() : limits.storedAnswerBytes();
        return new AnswerLimits(limits.rows(), bytes);
    }

    private Future<CallerAnswer> committed(
            WriteAnswer answer, Group group, InstancePool pool, long sentAtNanos) {
        long now = EventLoop.nowNanos();
        pool.stats().answered(now - sentAtNanos, now);
        pool.stats().reached(answer.position(), 0);
        boolean mayAcknowledge =
                context.directory().stillPrimary(group.id(), group.term(), group.primary(), now);
        if (!mayAcknowledge) {
            return settle(
                    "the lease ended or the primary was replaced before the write was acknowledged");
        }
        context.histories()
                .sample(context.group(group.id()), group.term(), sentAtNanos, answer.position());
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

    /**
     * Retries the request after a commit whose result was lost, if a retry cannot apply it twice.
     *
     * <p>That holds for a request with an id and for one that the caller declared repeatable.
     */
    private Future<CallerAnswer> settle(String message) {
        boolean mayRetry = request.record() != null || request.repeatable();
        if (!mayRetry) {
            return refuse(ResultCode.OUTCOME_UNKNOWN, message);
        }
        return again(ResultCode.OUTCOME_UNKNOWN, message);
    }

    private Future<CallerAnswer> again(ResultCode timeoutCode, String message) {
        return context.pause(RETRY_MILLIS, request.deadlineNanos(), timeoutCode, message)
                .compose(ignored -> attempt());
    }

    private static Future<CallerAnswer> refuse(ResultCode code, String message) {
        return Future.failedFuture(new ChivevaleException(code, message));
    }

    /**
     * Creates the response to a write that was not acknowledged.
     *
     * <p>Once an attempt may have been committed, only an unknown outcome is reported; a reused
     * request id is rejected in any case.
     */
    private CallerAnswer refusal(Throwable failure) {
        if (failure instanceof ChivevaleException known
                && known.code() == ResultCode.REQUEST_ID_REUSED) {
            return CallerAnswer.failed(known);
        }
        if (maybeCommitted) {
            return WriteConfirmation.unknown(
                    request.sessionOrEmpty(), context.group(request.group()), failure.getMessage());
        }
        if (failure instanceof DatabaseFailure databaseFailure) {
            return CallerAnswer.statementFailed(databaseFailure.sqlState(), failure.getMessage());
        }
        if (failure instanceof ChivevaleException known) {
            return CallerAnswer.failed(known.code(), Outcome.NOT_RUN, known.getMessage());
        }
        return CallerAnswer.failed(
                ResultCode.INTERNAL, Outcome.UNKNOWN, String.valueOf(failure.getMessage()));
    }
}
