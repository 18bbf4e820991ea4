package org.chivevale.proxy.internal.session;

import java.util.Set;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Reply;
import org.chivevale.process.EventLoop;

/**
 * Who makes the next attempt of a relayed statement: its connection host or its sender.
 *
 * <p>A host retries what lacks capacity at its endpoint and leaves the rest to the sender; the
 * sender does not repeat what the host did, so that a request crosses the network once. Stateless.
 */
final class RelayRules {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Wait at a connection host after which a read looks for another endpoint. */
    private static final long HOST_WAIT_NANOS = 200 * NANOS_PER_MILLI;

    /** An endpoint with statements in flight that is silent for longer is not preferred. */
    private static final long SILENCE_NANOS = 400 * NANOS_PER_MILLI;

    private RelayRules() {}

    private static boolean lacksCapacity(Reply reply) {
        return reply == Reply.BUSY || reply == Reply.CONNECTIONS_EXHAUSTED;
    }

    /** Returns true when a host makes another attempt; a read may go to another endpoint. */
    static boolean mayRetryAtHost(Operation operation, Reply reply, int attempts) {
        boolean hasOtherEndpoints = operation.effect() == Effect.SINGLE_READ && attempts > 1;
        return lacksCapacity(reply) && !hasOtherEndpoints;
    }

    /** Returns true when a sender may make another attempt. */
    static boolean mayRetryAtSender(Operation operation, Reply reply, boolean wasRelayed) {
        boolean hostHasRetried = wasRelayed && lacksCapacity(reply);
        return !hostHasRetried || !operation.primaryOnly();
    }

    /**
     * Returns true when a statement that replicas may run waits at a host for long, while another
     * endpoint is free.
     */
    static boolean isOutrun(
            SessionEngine engine,
            Operation operation,
            SessionContext context,
            Placement placement,
            long waitNanos) {
        if (operation.primaryOnly() || waitNanos <= HOST_WAIT_NANOS) {
            return false;
        }
        Placement best =
                engine.selectPlacement(
                        context.route(),
                        context.account(),
                        false,
                        context.lastCommit(),
                        Set.of(placement.pool().target().endpoint()),
                        context);
        return best != null
                && best.pool() != placement.pool()
                && best.pool().hasFreeConnection()
                && !best.pool().health().isAvoided(EventLoop.nowNanos(), SILENCE_NANOS);
    }
}
