package org.chivevale.consensus.raft;

/**
 * The replication state of one other member, as its leader tracks it.
 *
 * <p>Not thread safe.
 */
final class Progress {
    private long matchIndex;
    private long nextIndex;
    private long heardNanos;
    private long leaseFromNanos;
    private boolean leaseKnown;
    private long snapshotSentNanos;
    private boolean snapshotOpen;

    Progress(long nextIndex, long nowNanos) {
        this.nextIndex = nextIndex;
        this.heardNanos = nowNanos;
    }

    long matchIndex() {
        return matchIndex;
    }

    long nextIndex() {
        return nextIndex;
    }

    void sentUpTo(long index) {
        nextIndex = index + 1;
    }

    void matched(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        snapshotOpen = false;
    }

    void rejected(long tryIndex) {
        nextIndex = Math.max(matchIndex + 1, tryIndex);
    }

    /** Records an answer to a message that the leader sent at {@code sentNanos}. */
    void heard(long sentNanos, long nowNanos) {
        heardNanos = nowNanos;
        if (!leaseKnown || sentNanos - leaseFromNanos > 0) {
            leaseFromNanos = sentNanos;
        }
        leaseKnown = true;
    }

    long silentNanos(long nowNanos) {
        return nowNanos - heardNanos;
    }

    /** True when the member has answered a message that was sent at {@code nanos} or later. */
    boolean followedAt(long nanos) {
        return leaseKnown && leaseFromNanos - nanos >= 0;
    }

    /** Marks a snapshot as sent, unless one is in flight that is too young to be sent again. */
    boolean snapshotDue(long nowNanos, long resendNanos) {
        if (snapshotOpen && nowNanos - snapshotSentNanos < resendNanos) {
            return false;
        }
        snapshotOpen = true;
        snapshotSentNanos = nowNanos;
        return true;
    }
}
