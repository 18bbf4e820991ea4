package org.chivevale.core.route;

import java.util.List;

/**
 * Chooses the endpoint for a read by expected time.
 *
 * <p>The expected time of a replica is its usual answer time, scaled by its load, and the time
 * until it has caught up. The primary pays a surcharge, since it also carries the writes.
 * Invariant: a read that only the primary may serve never goes elsewhere. Stateless and thread
 * safe.
 */
public final class ReadRouter {
    private static final long UNKNOWN_CATCH_UP_PERCENT = 50;
    private static final long PERCENT = 100;

    private final long primarySurchargeNanos;
    private final long longestWaitNanos;

    /**
     * Creates a router.
     *
     * @param primarySurchargeNanos what a read at the primary counts above its expected time
     * @param longestWaitNanos the longest that a read waits for a replica
     */
    public ReadRouter(long primarySurchargeNanos, long longestWaitNanos) {
        this.primarySurchargeNanos = primarySurchargeNanos;
        this.longestWaitNanos = longestWaitNanos;
    }

    /**
     * Chooses.
     *
     * @param demand what the read must see
     * @param candidates endpoints that are in the current term and reachable
     * @param nowNanos the monotonic time
     * @return the choice, or null when no candidate may serve the read
     */
    public ReadChoice choose(ReadDemand demand, List<ReadCandidate> candidates, long nowNanos) {
        ReadChoice best = null;
        long bestCostNanos = Long.MAX_VALUE;
        for (ReadCandidate candidate : candidates) {
            if (demand.primaryOnly() && !candidate.primary() || candidate.connections() == 0) {
                continue;
            }
            long waitNanos = candidate.primary() ? 0 : waitNanos(demand, candidate, nowNanos);
            if (waitNanos > longestWaitNanos) {
                continue;
            }
            long costNanos = waitNanos + loadedNanos(candidate);
            if (candidate.primary()) {
                costNanos += primarySurchargeNanos;
            }
            if (costNanos < bestCostNanos) {
                bestCostNanos = costNanos;
                best = new ReadChoice(candidate.endpoint(), candidate.primary(), waitNanos);
            }
        }
        return best;
    }

    private static long loadedNanos(ReadCandidate candidate) {
        return candidate.responseNanos()
                + candidate.responseNanos() * candidate.inFlight() / candidate.connections();
    }

    private static long waitNanos(ReadDemand demand, ReadCandidate replica, long nowNanos) {
        if (replica.position() >= demand.requiredPosition()) {
            return 0;
        }
        if (demand.writtenByNanos() < 0) {
            return replica.lagNanos() * UNKNOWN_CATCH_UP_PERCENT / PERCENT;
        }
        return Math.max(0, demand.writtenByNanos() + replica.lagNanos() - nowNanos);
    }
}
