package org.chivevale.core.route;

/**
 * Positions of one group's primary, sampled over time by one process.
 *
 * <p>A sample says: the primary had reached the position when the sample was asked for or later. So
 * whatever a replica at that position lacks was written after the sample was asked for. Times are
 * this process's monotonic clock; clocks of different VMs are never compared. Invariants: at most
 * {@link #CAPACITY} samples, their times and positions grow. Not thread safe.
 */
public final class PositionHistory {
    static final int CAPACITY = 256;

    private final long[] timesNanos = new long[CAPACITY];
    private final long[] positions = new long[CAPACITY];
    private final long spacingNanos;
    private int start;
    private int size;
    private long highest;

    /**
     * Creates a history.
     *
     * @param spacingNanos samples closer together than this replace each other
     */
    public PositionHistory(long spacingNanos) {
        this.spacingNanos = spacingNanos;
    }

    /** Forgets everything, when the term changes. */
    public void clear() {
        start = 0;
        size = 0;
        highest = 0;
    }

    /**
     * Adds a sample of the primary.
     *
     * @param askedAtNanos when the primary was asked
     * @param position what it answered
     */
    public void sample(long askedAtNanos, long position) {
        highest = Math.max(highest, position);
        if (size > 0 && askedAtNanos - time(size - 1) < 0) {
            return;
        }
        boolean replacesLast = size > 1 && askedAtNanos - time(size - 2) < spacingNanos;
        if (replacesLast) {
            size--;
        }
        if (size == CAPACITY) {
            start = (start + 1) % CAPACITY;
            size--;
        }
        int index = (start + size) % CAPACITY;
        timesNanos[index] = askedAtNanos;
        positions[index] = highest;
        size++;
    }

    /**
     * Returns the position that makes data young enough.
     *
     * @param ageNanos how old data may be
     * @param nowNanos the monotonic time
     * @return the lowest known position that is young enough, or -1 when no sample is that recent
     */
    public long requiredFor(long ageNanos, long nowNanos) {
        for (int i = 0; i < size; i++) {
            if (nowNanos - time(i) <= ageNanos) {
                return position(i);
            }
        }
        return -1;
    }

    /**
     * Bounds the age of the data at a position.
     *
     * @param position a replica's position
     * @param nowNanos the monotonic time
     * @return the largest age it can have, or -1 when it is older than the history
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
     * Estimates by how much a replica trails the primary.
     *
     * <p>Unlike {@link #ageBoundNanos} this is no bound but the time since the primary was first
     * seen past the position, so it does not grow with the time between samples.
     *
     * @param position the replica's position
     * @param nowNanos the monotonic time
     * @return the estimate; 0 when the primary was never seen past the position
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
     * Tells by when a position was written.
     *
     * @param position the position
     * @return the time of the earliest sample that has reached it, or -1 when none has
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
    public long highest() {
        return highest;
    }

    private long time(int index) {
        return timesNanos[(start + index) % CAPACITY];
    }

    private long position(int index) {
        return positions[(start + index) % CAPACITY];
    }
}
