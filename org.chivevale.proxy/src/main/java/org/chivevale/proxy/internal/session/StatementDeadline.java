package org.chivevale.proxy.internal.session;

/**
 * How long a statement may wait, be retried and run.
 *
 * <p>Immutable.
 *
 * @param startedAtNanos when its execution started, on the monotonic clock
 * @param timeoutNanos its timeout
 */
record StatementDeadline(long startedAtNanos, long timeoutNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Share of the timeout after which a waiting statement fails and none is retried. */
    static final double RETRY_WINDOW_SHARE = 0.7;

    /** Returns the monotonic time after which the statement is not sent any more. */
    long retryWindowEndNanos() {
        return startedAtNanos + (long) (RETRY_WINDOW_SHARE * timeoutNanos);
    }

    boolean isPastRetryWindow(long nowNanos) {
        return nowNanos - retryWindowEndNanos() >= 0;
    }

    boolean isPast(long nowNanos) {
        return nowNanos - startedAtNanos > timeoutNanos;
    }

    /** Returns the time left, at least 1. */
    int remainingMillis(long nowNanos) {
        long remainingNanos = timeoutNanos - (nowNanos - startedAtNanos);
        return (int) Math.max(1, remainingNanos / NANOS_PER_MILLI);
    }
}
