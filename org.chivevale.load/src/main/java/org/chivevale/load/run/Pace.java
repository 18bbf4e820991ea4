package org.chivevale.load.run;

import java.util.SplittableRandom;

/**
 * Decides when the callers of one client account send, so that they keep to a token bucket.
 *
 * <p>Arrivals are random with the given mean. For an account within its rate each waits for a token
 * of a bucket with nine tenths of its rate, and its burst; so all it sends is inside its rate. Used
 * by one thread.
 */
final class Pace {
    private static final double NANOS_PER_SECOND = 1e9;

    private final SplittableRandom random;
    private final double sentPerSecond;
    private final double refillPerSecond;
    private final double burst;
    private final boolean limited;
    private double tokens;
    private long refilledNanos;
    private long nextArrivalNanos;

    Pace(LoadPlan.AccountLoad account, SplittableRandom random, long nowNanos) {
        this.random = random;
        this.sentPerSecond = account.sentPerSecond();
        this.refillPerSecond = account.ratePerSecond();
        this.burst = account.burst();
        this.limited = account.withinRate();
        this.refilledNanos = nowNanos;
        this.nextArrivalNanos = nowNanos + interval();
    }

    private long interval() {
        return (long) (-Math.log(1 - random.nextDouble()) / sentPerSecond * NANOS_PER_SECOND);
    }

    /** Returns when the next request was meant to be sent, or -1 when it is not yet time. */
    long nextDue(long nowNanos) {
        if (nowNanos - nextArrivalNanos < 0) {
            return -1;
        }
        if (limited && !takeToken(nowNanos)) {
            return -1;
        }
        long due = nextArrivalNanos;
        nextArrivalNanos += interval();
        return limited ? Math.max(due, nowNanos - 1) : due;
    }

    /** Takes a token for a repeat; false when the repeat has to wait. */
    boolean takeToken(long nowNanos) {
        if (!limited) {
            return true;
        }
        double elapsed = (nowNanos - refilledNanos) / NANOS_PER_SECOND;
        refilledNanos = nowNanos;
        tokens = Math.min(burst, tokens + elapsed * refillPerSecond);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
