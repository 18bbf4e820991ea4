package org.chivevale.core.admission;

/**
 * Estimates how long a queue takes to serve requests, from the times at which it served some.
 *
 * <p>The time that a request occupies a slot is the time between two requests served while others
 * waited, times the capacity. Unlike response times, it includes open transactions and the opening
 * of connections, and follows a change of the capacity at once. Not thread safe.
 */
final class WaitEstimate {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Used until an interval between two served requests is known. */
    private static final double INITIAL_SLOT_NANOS = 25.0 * NANOS_PER_MILLI;

    /** Limits the effect of a pause of the endpoint on the estimate. */
    private static final double MAX_SAMPLE_NANOS = 500.0 * NANOS_PER_MILLI;

    private static final double WEIGHT = 0.05;

    private double slotNanos = INITIAL_SLOT_NANOS;
    private long lastServedNanos;
    private boolean hasStart;

    /** Records that the queue has no waiting request left, so the next interval says nothing. */
    void onEmpty() {
        hasStart = false;
    }

    /** Records that a request that had waited was served. */
    void onServed(long nowNanos, int capacity) {
        if (hasStart) {
            double sample = (double) (nowNanos - lastServedNanos) * Math.max(1, capacity);
            slotNanos += WEIGHT * (Math.min(sample, MAX_SAMPLE_NANOS) - slotNanos);
        }
        hasStart = true;
        lastServedNanos = nowNanos;
    }

    long slotNanos() {
        return (long) slotNanos;
    }

    /** Returns the expected wait of a request with a number of others ahead. */
    long waitNanos(double ahead, int capacity) {
        return (long) ((ahead + 1) * slotNanos / Math.max(1, capacity));
    }
}
