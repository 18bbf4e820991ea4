package org.chivevale.load.check;

/**
 * A read of the highest sequence among a session's own writes.
 *
 * <p>Immutable.
 *
 * @param session name of the session that read
 * @param order position among the reads and writes of the session, which are sent one at a time
 * @param acceptedAgeNanos maximum age of the data; {@link #SESSION_READ} for a read that must see
 *     the session's own writes
 * @param observedSequence the highest sequence read, 0 for none
 * @param hasOwnNonce true when the response contained the nonce that only this request had sent
 * @param startNanos when the last attempt was sent
 * @param endNanos when its response was received
 * @param isSessionRestarted true when the session started with a new token before this read, since
 *     its state was lost
 */
public record ReadEvent(
        String session,
        long order,
        long acceptedAgeNanos,
        long observedSequence,
        boolean hasOwnNonce,
        long startNanos,
        long endNanos,
        boolean isSessionRestarted) {
    /** Accepted age of a read that must see the session's own writes. */
    public static final long SESSION_READ = -1;
}
