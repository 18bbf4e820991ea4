package org.chivevale.load.run;

import java.util.SplittableRandom;

/**
 * Schedules the requests of one client account as a Poisson process, limited by a token bucket.
 *
 * <p>Inter-arrival times are exponential, with the mean rate at which the account sends. For an
 * account within its rate, each request and each retry also takes a token of a bucket that starts
 * empty, refills at the account's rate and holds at most its burst, so that the account sends
 * within its rate limit. Used by one thread.
 */
final class RequestPacer {
    private static final double NANOS_PER_SECOND = 1e9;

    private final SplittableRandom random;
    private final double sentPerSecond;
    private final double refillPerSecond;
    private final double burst;
    private final boolean isLimited;
    private double tokens;
    private long lastRefillNanos;
    private long nextArrivalNanos;

    RequestPacer(LoadPlan.AccountLoad account, SplittableRandom random, long nowNanos) {
        this.random = random;
        this.sentPerSecond = account.sentPerSecond();
        this.refillPerSecond = account.ratePerSecond();
        this.burst = account.burst();
        this.isLimited = account.withinRate();
        this.lastRefillNanos = nowNanos;
        this.nextArrivalNanos = nowNanos + nextIntervalNanos();
    }

    private long nextIntervalNanos() {
        return (long) (-Math.log(1 - random.nextDouble()) / sentPerSecond * NANOS_PER_SECOND);
    }

    /** Returns when the next request was due and schedules its successor; -1 when none is due. */
    long pollDueNanos(long nowNanos) {
        if (nowNanos - nextArrivalNanos < 0) {
            return -1;
        }
        if (isLimited && !tryTakeToken(nowNanos)) {
            return -1;
        }
        long dueNanos = nextArrivalNanos;
        nextArrivalNanos += nextIntervalNanos();
        return isLimited ? Math.max(dueNanos, nowNanos - 1) : dueNanos;
    }

    /** Takes a token of the bucket if there is one; false when the request has to wait. */
    boolean tryTakeToken(long nowNanos) {
        if (!isLimited) {
            return true;
        }
        double elapsedSeconds = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND;
        lastRefillNanos = nowNanos;
        tokens = Math.min(burst, tokens + elapsedSeconds * refillPerSecond);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
