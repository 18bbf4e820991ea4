package org.chivevale.core.failover;

import java.util.concurrent.TimeUnit;

/**
 * Pause between the switchovers of one group that an evacuation causes.
 *
 * <p>While no replica catches up, each attempt fences the group for the time of the switchover; the
 * pause doubles with each such attempt, so that the group is not fenced repeatedly. Kept in the
 * leader's memory only: a new leader may start one attempt without a pause. Not thread safe.
 */
public final class SwitchoverBackoff {
    private static final long FIRST_PAUSE_MILLIS = 1000;
    private static final long LONGEST_PAUSE_MILLIS = 8000;

    private long pauseMillis;
    private long reinstatedNanos;

    /**
     * Records that an attempt ended with the old primary.
     *
     * @param nowNanos the monotonic time
     */
    public void recordReinstated(long nowNanos) {
        pauseMillis =
                pauseMillis == 0
                        ? FIRST_PAUSE_MILLIS
                        : Math.min(2 * pauseMillis, LONGEST_PAUSE_MILLIS);
        reinstatedNanos = nowNanos;
    }

    /** Forgets earlier attempts, once the group has another primary or the evacuation ended. */
    public void reset() {
        pauseMillis = 0;
    }

    /**
     * Tells whether the next attempt must wait.
     *
     * @param nowNanos the monotonic time
     * @return false when the pause has passed, or there was no attempt
     */
    public boolean isPaused(long nowNanos) {
        return nowNanos - reinstatedNanos < TimeUnit.MILLISECONDS.toNanos(pauseMillis);
    }
}
