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
 * Executes one write until it is acknowledged, rejected, or its deadline has passed.
 *
 * <p>Invariants: a write is acknowledged only while the lease covers the primary and term that it
 * ran under, and only after enough replicas have received it. The outcome "not run" is reported
 * only when no attempt can have taken effect: a commit whose result was lost is resolved by
 * retrying the request with its id; without a retry the outcome is unknown. Used on the event loop,
 * for a single request.
 */
final class WriteExecutor {
    private static final long RETRY_DELAY_MILLIS = 10;

    private final RequestContext context;
    private final CallerRequest request;
    private boolean maybeCommitted;

    WriteExecutor(RequestContext context, CallerRequest request) {
        this.context = context;
        this.request = request;
    }

    Future<CallerResponse> execute() {
        return attempt().recover(failure -> Future.succeededFuture(failureResponse(failure)));
    }

    private Future<CallerResponse> attempt() {
        return context.awaitPermittedPrimary(
                        request.account(), request.group(), request.deadlineNanos())
                .compose(this::attemptOnPrimary);
    }

    private Future<CallerResponse> attemptOnPrimary(Group group) {
        Mark mark = request.sessionOrEmpty().mark(request.group());
        if (mark != null && mark.term() > group.term()) {
            return retry(
                    ResultCode.PRIMARY_MISSING, "group " + group.id() + " is changing its term");
        }
        InstancePool pool = context.pools().primaryPool(group);
        return pool.acquire(request.account(), request.deadlineNanos())
                .compose(connection -> writeOnConnection(connection, group, pool))
                .recover(this::handleFailure);
    }

    private Future<CallerResponse> writeOnConnection(
            DatabaseConnection connection, Group group, InstancePool pool) {
        long sentAtNanos = EventLoop.nowNanos();
        boolean mayWrite =
                context.isOpen(group.id(), group.primary())
                        && context.directory()
                                .isStillPrimary(
                                        group.id(), group.term(), group.primary(), sentAtNanos);
        if (!mayWrite) {
            pool.release(connection);
            return retry(
                    ResultCode.PRIMARY_MISSING,
                    "the lease ended or the primary of group "
                            + group.id()
                            + " was replaced or evacuated");
        }
        WriteRequest write =
                new WriteRequest(
                        request.account(),
                        group.term(),
                        request.requestRecord(),
                        request.statements(),
                        resultLimits());
        Future<WriteResult> writing =
                request.kind() == StatementKind.SCHEMA
                        ? connection.changeSchema(write)
                        : connection.write(write);
        return context.withAttemptTimeout(writing, connection, request.deadlineNanos())
                .recover(
                        failure ->
                                Future.failedFuture(
                                        AttemptFailures.closeOnTimeout(failure, connection)))
                .compose(
                        result -> {
                            maybeCommitted = true;
                            return new WriteConfirmation(
                                            context, group, connection, request.deadlineNanos())
                                    .await(result);
                        })
                .onComplete(ended -> pool.release(connection))
                .compose(result -> acknowledge(result, group, pool, sentAtNanos));
    }

    private ResultLimits resultLimits() {
        ProxySettings.Limits limits = context.settings().limits();
        int bytes =
                request.requestRecord() == null
                        ? limits.responseBytes()
                        : limits.storedResponseBytes();
        return new ResultLimits(limits.rows(), bytes);
    }

    private Future<CallerResponse> acknowledge(
            WriteResult result, Group group, InstancePool pool, long sentAtNanos) {
        long now = EventLoop.nowNanos();
        pool.stats().recordResponse(now - sentAtNanos, now);
        pool.stats().recordPosition(result.position(), 0);
        boolean mayAcknowledge =
                context.directory().isStillPrimary(group.id(), group.term(), group.primary(), now);
        if (!mayAcknowledge) {
            return resolveLostCommit(
                    "the lease ended or the primary was replaced before the write was"
                            + " acknowledged");
        }
        context.histories()
                .recordSample(
                        context.group(group.id()), group.term(), sentAtNanos, result.position());
        return Future.succeededFuture(
                CallerResponse.success(
                        WriteConfirmation.sessionAfterWrite(
                                request.sessionOrEmpty(), group, result.position()),
                        result.resultsJson(),
                        CallerResponse.PRIMARY,
                        result.repeated(),
                        0));
    }

    private Future<CallerResponse> handleFailure(Throwable failure) {
        DatabaseFailure.Kind kind = AttemptFailures.kindOf(failure);
        if (kind == null) {
            return Future.failedFuture(failure);
        }
        return switch (kind) {
            case LOST_AFTER_COMMIT -> {
                maybeCommitted = true;
                yield resolveLostCommit(failure.getMessage());
            }
            case LOST_BEFORE_COMMIT, TERM_REPLACED, ROLE_MISSING ->
                    retry(ResultCode.CONNECTION_LOST, failure.getMessage());
            case ANSWER_TOO_LARGE -> reject(ResultCode.ANSWER_TOO_LARGE, failure.getMessage());
            case REQUEST_ID_REUSED -> reject(ResultCode.REQUEST_ID_REUSED, failure.getMessage());
            default -> {
                if (AttemptFailures.isTransient(failure)) {
                    yield retry(ResultCode.STATEMENT_FAILED, failure.getMessage());
                }
                yield Future.failedFuture(failure);
            }
        };
    }

    /**
     * Retries the request after a commit whose result was lost, if a second run does no harm.
     *
     * <p>That holds for a request with an id, which takes effect at most once, and for a repeatable
     * one.
     */
    private Future<CallerResponse> resolveLostCommit(String message) {
        boolean mayRetry = request.requestRecord() != null || request.repeatable();
        if (!mayRetry) {
            return reject(ResultCode.OUTCOME_UNKNOWN, message);
        }
        return retry(ResultCode.OUTCOME_UNKNOWN, message);
    }

    private Future<CallerResponse> retry(ResultCode timeoutCode, String message) {
        return context.delay(RETRY_DELAY_MILLIS, request.deadlineNanos(), timeoutCode, message)
                .compose(ignored -> attempt());
    }

    private static Future<CallerResponse> reject(ResultCode code, String message) {
        return Future.failedFuture(new ChivevaleException(code, message));
    }

    /**
     * Creates the response to a write that was not acknowledged.
     *
     * <p>Once an attempt may have been committed, only an unknown outcome is reported; a reused
     * request id is rejected in any case.
     */
    private CallerResponse failureResponse(Throwable failure) {
        if (failure instanceof ChivevaleException known
                && known.code() == ResultCode.REQUEST_ID_REUSED) {
            return CallerResponse.failure(known);
        }
        if (maybeCommitted) {
            return WriteConfirmation.unknownOutcome(
                    request.sessionOrEmpty(), context.group(request.group()), failure.getMessage());
        }
        if (failure instanceof DatabaseFailure databaseFailure) {
            return CallerResponse.statementFailure(
                    databaseFailure.sqlState(), failure.getMessage());
        }
        if (failure instanceof ChivevaleException known) {
            return CallerResponse.failure(known.code(), Outcome.NOT_RUN, known.getMessage());
        }
        return CallerResponse.failure(
                ResultCode.INTERNAL, Outcome.UNKNOWN, String.valueOf(failure.getMessage()));
    }
}
