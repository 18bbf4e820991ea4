package org.chivevale.core.admission;

/**
 * Why a request is not queued.
 *
 * <p>Immutable.
 *
 * @param reason the kind of rejection
 * @param expectedWaitNanos the time after which the request would have been served
 * @param retryAfterNanos the time after which the caller may try again
 */
public record Rejection(Reason reason, long expectedWaitNanos, long retryAfterNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Kinds of rejections. */
    public enum Reason {
        /** The queue is full, and no request in it is less urgent. */
        QUEUE_FULL("too many requests wait"),
        /** The expected wait exceeds the remaining time. */
        WAIT_TOO_LONG("the expected wait exceeds the remaining time"),
        /** A more urgent request, or one of a smaller account, took the place in a full queue. */
        DISPLACED("a request with precedence took the place in a full queue"),
        /** The remaining time passed in the queue. */
        EXPIRED("no connection in time");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /**
         * Returns the reason for the caller and the log.
         *
         * @return a phrase
         */
        public String text() {
            return text;
        }
    }

    /**
     * Describes the rejection for the caller and the log.
     *
     * @return the reason and the expected wait
     */
    public String describe() {
        return reason.text() + "; expected wait " + expectedWaitNanos / NANOS_PER_MILLI + " ms";
    }
}
