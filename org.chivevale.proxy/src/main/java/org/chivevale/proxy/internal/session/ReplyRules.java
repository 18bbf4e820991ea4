package org.chivevale.proxy.internal.session;

import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Reply;
import org.chivevale.database.session.EndpointReply;

/**
 * When a statement in flight is given up before its reply, and which replies count.
 *
 * <p>Invariant: only a statement that leaves no effect is given up. Stateless.
 */
final class ReplyRules {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A reply is not overdue before. */
    static final long SILENCE_LIMIT_NANOS = 400 * NANOS_PER_MILLI;

    /** Multiple of the endpoint's average response time after which a reply is overdue. */
    private static final int OVERDUE_FACTOR = 5;

    /** Time for which opening a connection occupies a slot of the endpoint. */
    private static final long OPENING_MILLIS = 12;

    private ReplyRules() {}

    /**
     * Returns true for a read whose caller has left and that takes longer than usual; for a shorter
     * one, opening another connection would cost the endpoint more than the read.
     */
    static boolean isWorthCancelling(
            Operation operation,
            SessionContext context,
            PooledConnection connection,
            long waitNanos) {
        double averageMillis = connection.pool().health().responseMillis();
        long worthNanos = (long) (Math.max(OPENING_MILLIS, averageMillis) * NANOS_PER_MILLI);
        return operation.effect() == Effect.SINGLE_READ
                && context.callerHasLeft().getAsBoolean()
                && waitNanos > worthNanos;
    }

    /**
     * Returns true when the reply is long overdue and the connection can be closed without an
     * effect that stays: for a read, or a transaction whose commit was not sent.
     */
    static boolean isStuck(Operation operation, PooledConnection connection, long waitNanos) {
        boolean noLastingEffect =
                operation.effect() == Effect.SINGLE_READ
                        || operation.effect() == Effect.BEGIN
                        || operation.effect() == Effect.IN_TRANSACTION;
        long averageNanos = (long) (connection.pool().health().responseMillis() * NANOS_PER_MILLI);
        long overdueNanos = Math.max(SILENCE_LIMIT_NANOS, OVERDUE_FACTOR * averageNanos);
        return noLastingEffect
                && waitNanos > overdueNanos
                && !connection.isHostResponsive(SILENCE_LIMIT_NANOS);
    }

    /**
     * Treats a reply of a primary that has been replaced as lost: what it ran may not survive the
     * failover.
     */
    static EndpointReply asLostIfReplaced(
            SessionEngine engine, Placement placement, EndpointReply reply) {
        boolean ran = reply.reply().mayHaveRun();
        if (ran && reply.reply() != Reply.LOST && !engine.isCurrent(placement)) {
            return EndpointReply.withoutResponse(Reply.LOST, "the primary was replaced meanwhile");
        }
        return reply;
    }
}
