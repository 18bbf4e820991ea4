package org.chivevale.load.check;

/**
 * A write with the outcome that its caller received.
 *
 * <p>Immutable.
 *
 * @param session name of the session that wrote
 * @param sequence number of the write in the session, from 1
 * @param outcome outcome over all attempts
 * @param startNanos when the first attempt was sent
 * @param endNanos when the last attempt ended
 */
public record WriteEvent(
        String session, long sequence, WriteOutcome outcome, long startNanos, long endNanos) {
    /** The outcome of a write as its caller knows it. */
    public enum WriteOutcome {
        ACKNOWLEDGED,
        NOT_RUN,
        UNKNOWN
    }
}
