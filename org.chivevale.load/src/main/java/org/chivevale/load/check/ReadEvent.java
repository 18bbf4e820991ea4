package org.chivevale.load.check;

/**
 * A read of the highest sequence of a session's own writes.
 *
 * <p>Immutable.
 *
 * @param session who read
 * @param order counts the reads and writes of the session, which follow each other
 * @param acceptedAgeNanos how old the data might be; -1 for a read of the session's state
 * @param observed the highest sequence seen, 0 for none
 * @param ownAnswer true when the answer carried what only this request had sent
 * @param startNanos when it was sent
 * @param endNanos when the answer came
 * @param tokenRenewed true when the session began anew before this read, after its state was lost
 */
public record ReadEvent(
        String session,
        long order,
        long acceptedAgeNanos,
        long observed,
        boolean ownAnswer,
        long startNanos,
        long endNanos,
        boolean tokenRenewed) {
    /** Stands for a read of the session's state. */
    public static final long SESSION_READ = -1;
}
