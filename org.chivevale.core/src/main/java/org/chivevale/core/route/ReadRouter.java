package org.chivevale.core.route;

import java.util.List;

/**
 * Chooses the endpoint for a read by expected response time.
 *
 * <p>The expected time of a replica is its usual response time, scaled by its load, plus the time
 * until it has caught up. Reads at the primary pay a surcharge, since it also serves the writes.
 * Invariant: a read that only the primary may serve is never sent to a replica. Immutable and
 * thread safe.
 */
public final class ReadRouter {
    private static final long UNKNOWN_CATCH_UP_PERCENT = 50;
    private static final long PERCENT = 100;

    private final long primarySurchargeNanos;
    private final long maxWaitNanos;

    /**
     * Creates a router.
     *
     * @param primarySurchargeNanos added to the expected time of a read at the primary
     * @param maxWaitNanos maximum time that a read waits for a replica to catch up
     */
    public ReadRouter(long primarySurchargeNanos, long maxWaitNanos) {
        this.primarySurchargeNanos = primarySurchargeNanos;
        this.maxWaitNanos = maxWaitNanos;
    }

    /**
     * Chooses the endpoint with the lowest expected time.
     *
     * @param requirement the freshness that the read requires
     * @param candidates reachable endpoints in the current term
     * @param nowNanos the monotonic time
     * @return the choice, or null when no candidate may serve the read
     */
    public ReadChoice choose(
            ReadRequirement requirement, List<ReadCandidate> candidates, long nowNanos) {
        ReadChoice best = null;
        long bestCostNanos = Long.MAX_VALUE;
        for (ReadCandidate candidate : candidates) {
            if (requirement.primaryOnly() && !candidate.primary() || candidate.connections() == 0) {
                continue;
            }
            long waitNanos = candidate.primary() ? 0 : waitNanos(requirement, candidate, nowNanos);
            if (waitNanos > maxWaitNanos) {
                continue;
            }
            long costNanos = waitNanos + expectedResponseNanos(candidate);
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

    private static long expectedResponseNanos(ReadCandidate candidate) {
        return candidate.responseNanos()
                + candidate.responseNanos() * candidate.pendingRequests() / candidate.connections();
    }

    private static long waitNanos(
            ReadRequirement requirement, ReadCandidate replica, long nowNanos) {
        if (replica.position() >= requirement.requiredPosition()) {
            return 0;
        }
        if (requirement.writtenByNanos() < 0) {
            return replica.lagNanos() * UNKNOWN_CATCH_UP_PERCENT / PERCENT;
        }
        return Math.max(0, requirement.writtenByNanos() + replica.lagNanos() - nowNanos);
    }
}
