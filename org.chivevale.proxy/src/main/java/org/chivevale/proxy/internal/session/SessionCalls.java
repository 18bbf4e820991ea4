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
 * Carries statements of sessions to endpoints and says how they ended.
 *
 * <p>Stateless. Used on the event loop.
 */
public final class SessionCalls {
    private static final long NANOS_PER_MICRO = 1_000;

    private SessionCalls() {}

    /**
     * One statement.
     *
     * @param id the caller's id
     * @param statement what to run
     * @param prepared what a prepared statement does; null for others
     * @param writes true when it changes data
     */
    public record Call(String id, Statement statement, Prepared prepared, boolean writes) {}

    /**
     * How a statement ended.
     *
     * @param rows the rows of a success
     * @param signature the endpoint's proof
     * @param error null for success
     * @param detail the text of the error
     * @param transaction where the endpoint's connection stands
     * @param position the endpoint's position, or null
     * @param endpoint where it ran last; empty when nowhere
     * @param since the position that was asked of a replica; empty at the primary
     * @param tries how often it was tried
     * @param tookMicros how long it took
     */
    public record Result(
            List<String> rows,
            String signature,
            SessionError error,
            String detail,
            TransactionState transaction,
            TermPosition position,
            String endpoint,
            String since,
            int tries,
            long tookMicros) {}

    /**
     * Runs a statement outside a transaction.
     *
     * @param engine what sessions share
     * @param call the statement
     * @param account on whose behalf
     * @param route how it reaches a database
     * @param state the session
     * @param done learns the end
     */
    public static void single(
            SessionEngine engine,
            Call call,
            ClientAccountId account,
            Route route,
            SessionState state,
            Consumer<Result> done) {
        long started = EventLoop.nowNanos();
        boolean atPrimary = call.writes() || route.readPolicy() == ReadPolicy.PRIMARY;
        Attempt.Work work =
                new Attempt.Work(
                        call.id(),
                        call.statement(),
                        call.prepared(),
                        call.writes() ? Effect.SINGLE_WRITE : Effect.SINGLE_READ,
                        atPrimary);
        Attempt.Origin origin = new Attempt.Origin(account, route, state.values(), state.floor());
        Attempt.anywhere(
                        engine,
                        work,
                        origin,
                        false,
                        outcome -> done.accept(result(outcome, started)))
                .start();
    }

    /**
     * Runs a statement inside a transaction.
     *
     * @param engine what sessions share
     * @param transaction the transaction
     * @param call the statement
     * @param effect what it can change
     * @param state the session
     * @param done learns the end
     */
    public static void inTransaction(
            SessionEngine engine,
            OpenTransaction transaction,
            Call call,
            Effect effect,
            SessionState state,
            Consumer<Result> done) {
        long started = EventLoop.nowNanos();
        Attempt.Work work =
                new Attempt.Work(call.id(), call.statement(), call.prepared(), effect, false);
        Attempt.Origin origin =
                new Attempt.Origin(
                        transaction.accountId(),
                        transaction.route(),
                        state.values(),
                        state.floor());
        transaction.run(work, origin, outcome -> done.accept(result(outcome, started)));
    }

    private static Result result(Attempt.Outcome outcome, long startedNanos) {
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
                placement == null ? "" : placement.pool().target().endpoint().value(),
                placement == null || placement.since() == null ? "" : placement.since().toString(),
                outcome.tries(),
                (EventLoop.nowNanos() - startedNanos) / NANOS_PER_MICRO);
    }
}
