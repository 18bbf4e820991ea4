package org.chivevale.core.admission;

/**
 * A count of events that decays exponentially with time.
 *
 * <p>Not thread safe.
 */
final class DecayedCount {
    private final double windowNanos;
    private double value;
    private long updatedNanos;

    DecayedCount(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    void add(long nowNanos) {
        value = value(nowNanos) + 1;
        updatedNanos = nowNanos;
    }

    /** Returns the number of events in the window, for a steady rate. */
    double value(long nowNanos) {
        return value == 0 ? 0 : value * Math.exp((updatedNanos - nowNanos) / windowNanos);
    }
}
