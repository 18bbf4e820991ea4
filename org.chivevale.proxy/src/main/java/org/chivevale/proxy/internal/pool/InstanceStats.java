package org.chivevale.proxy.internal.pool;

/**
 * Response time, replica lag and position of one instance, as seen by this proxy.
 *
 * <p>Used on the event loop.
 */
public final class InstanceStats {
    private static final double RESPONSE_WEIGHT = 0.1;
    private static final double LAG_WEIGHT = 0.2;
    private static final long INITIAL_RESPONSE_NANOS = 1_000_000;

    private double responseNanos = INITIAL_RESPONSE_NANOS;
    private double lagNanos;
    private long position;
    private long lastResponseAtNanos;
    private long avoidUntilNanos;

    InstanceStats(long nowNanos) {
        lastResponseAtNanos = nowNanos;
        avoidUntilNanos = nowNanos;
    }

    /**
     * Records a response.
     *
     * @param durationNanos the time from the request to the response
     * @param nowNanos the current monotonic time
     */
    public void recordResponse(long durationNanos, long nowNanos) {
        responseNanos += RESPONSE_WEIGHT * (durationNanos - responseNanos);
        lastResponseAtNanos = nowNanos;
    }

    /**
     * Records a position.
     *
     * @param newPosition the position that the instance has reached
     * @param newLagNanos the replica lag at that position; -1 when unknown
     */
    public void recordPosition(long newPosition, long newLagNanos) {
        position = Math.max(position, newPosition);
        if (newLagNanos >= 0) {
            lagNanos += LAG_WEIGHT * (newLagNanos - lagNanos);
        }
    }

    /**
     * Excludes the instance from reads for some time after a failure.
     *
     * @param untilNanos the monotonic time at which the exclusion ends
     */
    public void avoidUntil(long untilNanos) {
        avoidUntilNanos = untilNanos;
    }

    /**
     * Returns whether the instance is excluded from reads.
     *
     * @param nowNanos the current monotonic time
     * @return true for some time after a failure
     */
    public boolean isAvoided(long nowNanos) {
        return nowNanos - avoidUntilNanos < 0;
    }

    /**
     * Returns the smoothed response time.
     *
     * @return the exponential moving average in nanoseconds
     */
    public long responseNanos() {
        return (long) responseNanos;
    }

    /**
     * Returns the smoothed replica lag.
     *
     * @return the exponential moving average in nanoseconds
     */
    public long lagNanos() {
        return (long) lagNanos;
    }

    /**
     * Returns the highest recorded position.
     *
     * @return the position; 0 before the first one
     */
    public long position() {
        return position;
    }

    /**
     * Returns the time of the last response.
     *
     * @return the monotonic time; the creation time before the first response
     */
    public long lastResponseAtNanos() {
        return lastResponseAtNanos;
    }
}
