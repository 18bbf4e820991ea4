package org.chivevale.core.route;

/**
 * Log positions of one group's primary, sampled over time by one process.
 *
 * <p>The primary was at a sample's position when it was queried or later, so whatever a replica at
 * that position lacks was written after the query was sent. Times are from this process's monotonic
 * clock; clocks of different VMs are never compared. Invariants: at most {@link #CAPACITY} samples,
 * whose times and positions never decrease. Not thread safe.
 */
public final class PositionHistory {
    static final int CAPACITY = 256;

    private final long[] timesNanos = new long[CAPACITY];
    private final long[] positions = new long[CAPACITY];
    private final long spacingNanos;
    private int start;
    private int size;
    private long highestPosition;

    /**
     * Creates an empty history.
     *
     * @param spacingNanos minimum time between samples; one that is closer replaces the last one
     */
    public PositionHistory(long spacingNanos) {
        this.spacingNanos = spacingNanos;
    }

    /** Removes all samples; called when the term changes. */
    public void clear() {
        start = 0;
        size = 0;
        highestPosition = 0;
    }

    /**
     * Adds a sample of the primary.
     *
     * @param queriedAtNanos the monotonic time at which the query was sent
     * @param position the position in the response
     */
    public void addSample(long queriedAtNanos, long position) {
        highestPosition = Math.max(highestPosition, position);
        if (size > 0 && queriedAtNanos - time(size - 1) < 0) {
            return;
        }
        boolean replacesLast = size > 1 && queriedAtNanos - time(size - 2) < spacingNanos;
        if (replacesLast) {
            size--;
        }
        if (size == CAPACITY) {
            start = (start + 1) % CAPACITY;
            size--;
        }
        int index = (start + size) % CAPACITY;
        timesNanos[index] = queriedAtNanos;
        positions[index] = highestPosition;
        size++;
    }

    /**
     * Returns the position that a log must hold to satisfy a staleness bound.
     *
     * @param ageNanos the staleness bound
     * @param nowNanos the monotonic time
     * @return the lowest known position that is fresh enough, or -1 when no sample is that recent
     */
    public long requiredPosition(long ageNanos, long nowNanos) {
        for (int i = 0; i < size; i++) {
            if (nowNanos - time(i) <= ageNanos) {
                return position(i);
            }
        }
        return -1;
    }

    /**
     * Returns an upper bound for the staleness of a replica.
     *
     * @param position a replica's position
     * @param nowNanos the monotonic time
     * @return the bound, or -1 when the position is older than the history
     */
    public long ageBoundNanos(long position, long nowNanos) {
        for (int i = size - 1; i >= 0; i--) {
            if (position(i) <= position) {
                return Math.max(0, nowNanos - time(i));
            }
        }
        return -1;
    }

    /**
     * Estimates the lag of a replica.
     *
     * <p>Unlike {@link #ageBoundNanos} this is not a bound but the time since the primary was first
     * seen past the position, so it does not grow with the time between samples.
     *
     * @param position the replica's position
     * @param nowNanos the monotonic time
     * @return the estimated lag; 0 when the primary was never seen past the position
     */
    public long lagNanos(long position, long nowNanos) {
        for (int i = 0; i < size; i++) {
            if (position(i) > position) {
                return Math.max(0, nowNanos - time(i));
            }
        }
        return 0;
    }

    /**
     * Returns a time by which a position was written.
     *
     * @param position the position
     * @return the time of the earliest sample at or past it, or -1 when there is none
     */
    public long writtenByNanos(long position) {
        for (int i = 0; i < size; i++) {
            if (position(i) >= position) {
                return time(i);
            }
        }
        return -1;
    }

    /**
     * Returns the highest position seen.
     *
     * @return 0 before the first sample
     */
    public long highestPosition() {
        return highestPosition;
    }

    private long time(int index) {
        return timesNanos[(start + index) % CAPACITY];
    }

    private long position(int index) {
        return positions[(start + index) % CAPACITY];
    }
}
