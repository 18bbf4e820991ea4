package org.chivevale.core.admission;

/**
 * Spreads the times after which rejected callers may return, so that they do not return together.
 *
 * <p>Multiples of the golden ratio's fraction are evenly spread for any number of callers, and the
 * sequence needs no random numbers. Not thread safe.
 */
public final class RetrySpread {
    private static final double GOLDEN_FRACTION = 0.618033988749895;

    private double fraction;

    /**
     * Returns the time after which the next rejected caller may return.
     *
     * @param excessNanos by how much the expected wait exceeds the remaining time
     * @param slotNanos the mean time that a request occupies a slot; the least width of the spread
     * @return a time from the excess up to twice the excess, or one slot time beyond it
     */
    public long nextNanos(long excessNanos, long slotNanos) {
        fraction = (fraction + GOLDEN_FRACTION) % 1;
        long base = Math.max(0, excessNanos);
        return base + (long) (fraction * Math.max(base, slotNanos));
    }
}
