package org.chivevale.consensus.raft;

/**
 * What a leader knows of one other member.
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

    /** Notes an answer to a message that was sent at a time. */
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

    /** True when an answer proves that the member still followed at a time or later. */
    boolean followedAt(long nanos) {
        return leaseKnown && leaseFromNanos - nanos >= 0;
    }

    boolean snapshotDue(long nowNanos, long againNanos) {
        if (snapshotOpen && nowNanos - snapshotSentNanos < againNanos) {
            return false;
        }
        snapshotOpen = true;
        snapshotSentNanos = nowNanos;
        return true;
    }
}
