package org.chivevale.core.failover;

import java.util.concurrent.TimeUnit;

/**
 * Detects the loss of a primary that no proxy uses, by the answers to control's own status calls.
 *
 * <p>Control calls only a primary that is in doubt: its announcements have stopped, it announces
 * itself as a replica, or proxies suspect it. Invariants: a primary that answers as one, or that is
 * busy, is not lost; one failed call is not enough, since the call itself may be lost. An instance
 * serves one doubt. Not thread safe.
 */
public final class LostPrimaryDetector {
    private static final long CALL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MIN_FAILED_CALLS = 3;
    private static final long MIN_FAILING_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);
    private static final int MIN_REPLICA_ANSWERS = 2;

    private Answer lastAnswer = Answer.PRIMARY;
    private int answersInRow;
    private long firstInRowNanos;
    private long lastCallNanos;
    private boolean hasCalled;
    private boolean isCalling;

    /** How a status call ended. */
    public enum Answer {
        /** The endpoint runs as a primary. */
        PRIMARY,
        /** The endpoint runs as a replica. */
        REPLICA,
        /** The endpoint is there but had no capacity to say what it is. */
        BUSY,
        /** The endpoint did not answer. */
        NONE
    }

    /**
     * Starts a call if one is due.
     *
     * @param nowNanos the monotonic time
     * @return true if the caller has to make the call and to report its end
     */
    public boolean startCall(long nowNanos) {
        boolean tooSoon = hasCalled && nowNanos - lastCallNanos < CALL_INTERVAL_NANOS;
        if (isCalling || tooSoon) {
            return false;
        }
        hasCalled = true;
        isCalling = true;
        lastCallNanos = nowNanos;
        return true;
    }

    /**
     * Records the end of a call.
     *
     * @param answer how it ended
     * @param nowNanos the monotonic time
     */
    public void endCall(Answer answer, long nowNanos) {
        isCalling = false;
        if (answer != lastAnswer) {
            lastAnswer = answer;
            answersInRow = 0;
            firstInRowNanos = nowNanos;
        }
        answersInRow++;
    }

    /**
     * Tells whether the last call found no primary.
     *
     * @return false before the first answer
     */
    public boolean hasFailed() {
        return answersInRow > 0 && (lastAnswer == Answer.NONE || lastAnswer == Answer.REPLICA);
    }

    /**
     * Returns why the primary is lost.
     *
     * @param nowNanos the monotonic time
     * @return null while it is not known to be lost
     */
    public String lossReason(long nowNanos) {
        boolean isGone =
                lastAnswer == Answer.NONE
                        && answersInRow >= MIN_FAILED_CALLS
                        && nowNanos - firstInRowNanos >= MIN_FAILING_NANOS;
        if (isGone) {
            return "it neither announces itself nor answers";
        }
        boolean isReplica = lastAnswer == Answer.REPLICA && answersInRow >= MIN_REPLICA_ANSWERS;
        return isReplica ? "it runs as a replica" : null;
    }
}
