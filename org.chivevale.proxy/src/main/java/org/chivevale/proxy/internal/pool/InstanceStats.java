package org.chivevale.proxy.internal.pool;

/**
 * What this proxy has seen of one instance.
 *
 * <p>Used on the event loop.
 */
public final class InstanceStats {
    private static final double WEIGHT = 0.1;
    private static final double LAG_WEIGHT = 0.2;
    private static final long FIRST_RESPONSE_NANOS = 1_000_000;

    private double responseNanos = FIRST_RESPONSE_NANOS;
    private double lagNanos;
    private long position;
    private long lastAliveNanos;
    private long avoidUntilNanos;

    InstanceStats(long nowNanos) {
        lastAliveNanos = nowNanos;
        avoidUntilNanos = nowNanos;
    }

    /**
     * Notes an answer.
     *
     * @param tookNanos how long it took
     * @param nowNanos the monotonic time
     */
    public void answered(long tookNanos, long nowNanos) {
        responseNanos += WEIGHT * (tookNanos - responseNanos);
        lastAliveNanos = nowNanos;
    }

    /**
     * Notes a position.
     *
     * @param seen the position
     * @param newLagNanos by how much it trails the primary; -1 when that is not known
     */
    public void reached(long seen, long newLagNanos) {
        position = Math.max(position, seen);
        if (newLagNanos >= 0) {
            lagNanos += LAG_WEIGHT * (newLagNanos - lagNanos);
        }
    }

    /**
     * Keeps requests away for a while, after a failure.
     *
     * @param untilNanos the monotonic time until which others are preferred
     */
    public void avoid(long untilNanos) {
        avoidUntilNanos = untilNanos;
    }

    /**
     * Tells whether others are to be preferred.
     *
     * @param nowNanos the monotonic time
     * @return true for a while after a failure
     */
    public boolean avoided(long nowNanos) {
        return nowNanos - avoidUntilNanos < 0;
    }

    /**
     * Returns the smoothed time of answers.
     *
     * @return nanoseconds
     */
    public long responseNanos() {
        return (long) responseNanos;
    }

    /**
     * Returns the smoothed time by which it trails the primary.
     *
     * @return nanoseconds
     */
    public long lagNanos() {
        return (long) lagNanos;
    }

    /**
     * Returns the highest position seen.
     *
     * @return 0 before the first
     */
    public long position() {
        return position;
    }

    /**
     * Returns when it last answered.
     *
     * @return the monotonic time
     */
    public long lastAliveNanos() {
        return lastAliveNanos;
    }
}
