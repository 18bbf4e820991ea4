package org.chivevale.proxy.internal.session;

import java.util.List;
import java.util.function.Consumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.ReadPolicy;
import org.chivevale.core.config.Route;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.SessionError;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.interactive.Statement.Prepared;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.database.session.TransactionState;
import org.chivevale.process.EventLoop;

/**
 * Executes the statements of sessions and reports their results.
 *
 * <p>Stateless. Used on the event loop.
 */
public final class StatementExecutor {
    private static final long NANOS_PER_MICRO = 1_000;

    private StatementExecutor() {}

    /**
     * A statement to execute.
     *
     * @param id the request id that the caller gave
     * @param statement the statement
     * @param prepared the prepared statement that it executes; null for others
     * @param writes true when it may change data
     */
    public record Request(String id, Statement statement, Prepared prepared, boolean writes) {}

    /**
     * The result of a statement.
     *
     * @param rows the rows; empty after an error
     * @param signature the endpoint's signature; empty after an error
     * @param error null for success
     * @param detail the text of the error
     * @param transaction the transaction state of the endpoint's connection
     * @param position the endpoint's log position, or null
     * @param endpoint the endpoint that ran it last, and the proxy whose connections it went over
     *     if that is another; empty when none did
     * @param requiredPosition the position required of the replica; empty at the primary
     * @param attempts how often it was sent
     * @param durationMicros the time from its start to its end
     */
    public record Result(
            List<String> rows,
            String signature,
            SessionError error,
            String detail,
            TransactionState transaction,
            TermPosition position,
            String endpoint,
            String requiredPosition,
            int attempts,
            long durationMicros) {}

    /**
     * Executes a statement outside a transaction.
     *
     * @param engine the engine that all sessions share
     * @param request the statement
     * @param account the client account that it runs for
     * @param route the route in force
     * @param state the session's state
     * @param done receives the result
     */
    public static void execute(
            SessionEngine engine,
            Request request,
            ClientAccountId account,
            Route route,
            SessionState state,
            Consumer<Result> done) {
        long startedNanos = EventLoop.nowNanos();
        boolean primaryOnly = request.writes() || route.readPolicy() == ReadPolicy.PRIMARY;
        Operation operation =
                new Operation(
                        request.id(),
                        request.statement(),
                        request.prepared(),
                        request.writes() ? Effect.SINGLE_WRITE : Effect.SINGLE_READ,
                        primaryOnly);
        SessionContext context =
                new SessionContext(
                        account,
                        route,
                        state.settings(),
                        state.lastCommit(route),
                        state::callerHasLeft);
        StatementExecution.onAnyEndpoint(
                        engine,
                        operation,
                        context,
                        false,
                        outcome -> done.accept(toResult(outcome, startedNanos)))
                .start();
    }

    /**
     * Executes a statement inside a transaction.
     *
     * @param engine the engine that all sessions share
     * @param transaction the transaction
     * @param request the statement
     * @param effect what it can change
     * @param state the session's state
     * @param done receives the result
     */
    public static void executeInTransaction(
            SessionEngine engine,
            OpenTransaction transaction,
            Request request,
            Effect effect,
            SessionState state,
            Consumer<Result> done) {
        long startedNanos = EventLoop.nowNanos();
        Operation operation =
                new Operation(request.id(), request.statement(), request.prepared(), effect, false);
        SessionContext context =
                new SessionContext(
                        transaction.accountId(),
                        transaction.route(),
                        state.settings(),
                        state.lastCommit(transaction.route()),
                        state::callerHasLeft);
        transaction.execute(
                operation, context, outcome -> done.accept(toResult(outcome, startedNanos)));
    }

    private static String endpointText(Placement placement, String host) {
        String endpoint = placement.pool().target().endpoint().value();
        return host.isEmpty() ? endpoint : endpoint + " host=" + host;
    }

    private static Result toResult(StatementOutcome outcome, long startedNanos) {
        EndpointReply reply = outcome.reply();
        Placement placement = outcome.placement();
        boolean success = outcome.error() == null;
        return new Result(
                success ? reply.rows() : List.of(),
                success ? reply.signature() : "",
                outcome.error(),
                outcome.detail(),
                reply == null ? TransactionState.NONE : reply.transaction(),
                reply == null ? null : reply.position(),
                placement == null ? "" : endpointText(placement, outcome.host()),
                placement == null || placement.requiredPosition() == null
                        ? ""
                        : placement.requiredPosition().toString(),
                outcome.attempts(),
                (EventLoop.nowNanos() - startedNanos) / NANOS_PER_MICRO);
    }
}
