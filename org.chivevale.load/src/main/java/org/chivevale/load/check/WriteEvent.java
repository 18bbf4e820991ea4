package org.chivevale.load.check;

/**
 * A write as its caller saw it.
 *
 * <p>Immutable.
 *
 * @param session who wrote
 * @param sequence numbers the writes of the session, from 1
 * @param outcome what the last answer said
 * @param startNanos when it was first sent
 * @param endNanos when the last answer came
 */
public record WriteEvent(
        String session, long sequence, Seen outcome, long startNanos, long endNanos) {
    /** What a caller was told of a write. */
    public enum Seen {
        ACKNOWLEDGED,
        NOT_RUN,
        UNKNOWN
    }
}
