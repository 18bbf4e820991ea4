package org.chivevale.consensus.raft;

/**
 * The replication state of one other member, as its leader tracks it.
 *
 * <p>Not thread safe.
 */
final class PeerProgress {
    private long matchIndex;
    private long nextIndex;
    private long lastAnswerNanos;
    private long lastAnsweredSentNanos;
    private boolean hasAnswered;
    private long snapshotSentNanos;
    private boolean snapshotInFlight;

    PeerProgress(long nextIndex, long nowNanos) {
        this.nextIndex = nextIndex;
        this.lastAnswerNanos = nowNanos;
    }

    long matchIndex() {
        return matchIndex;
    }

    long nextIndex() {
        return nextIndex;
    }

    void recordSent(long index) {
        nextIndex = index + 1;
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        snapshotInFlight = false;
    }

    void backtrackTo(long tryIndex) {
        nextIndex = Math.max(matchIndex + 1, tryIndex);
    }

    /** Records an answer to a message that the leader sent at {@code sentNanos}. */
    void recordAnswer(long sentNanos, long nowNanos) {
        lastAnswerNanos = nowNanos;
        if (!hasAnswered || sentNanos - lastAnsweredSentNanos > 0) {
            lastAnsweredSentNanos = sentNanos;
        }
        hasAnswered = true;
    }

    long silentNanos(long nowNanos) {
        return nowNanos - lastAnswerNanos;
    }

    /** True when the member has answered a message that was sent at {@code nanos} or later. */
    boolean hasAnsweredSince(long nanos) {
        return hasAnswered && lastAnsweredSentNanos - nanos >= 0;
    }

    /**
     * Records a snapshot as sent; returns false if one sent within the resend time is in flight.
     */
    boolean startSnapshot(long nowNanos, long resendNanos) {
        if (snapshotInFlight && nowNanos - snapshotSentNanos < resendNanos) {
            return false;
        }
        snapshotInFlight = true;
        snapshotSentNanos = nowNanos;
        return true;
    }
}
