package org.chivevale.database;

/**
 * Follows the commit of one request after the other on a connection.
 *
 * <p>Invariants: after {@link #abandon} no commit may be sent any more, so a request that was
 * abandoned while {@link CommitState#NOT_SENT} stays without effect; a request that may have taken
 * effect is never reported as one that has none. Not thread safe.
 */
public final class CommitProgress {
    private CommitState state = CommitState.NOT_SENT;
    private boolean isAbandoned;

    /** Starts the next request of the connection. */
    public void begin() {
        state = CommitState.NOT_SENT;
    }

    /**
     * Requests permission to send the commit.
     *
     * @return false when the request was abandoned, or its commit has been sent; nothing may be
     *     sent then
     */
    public boolean trySend() {
        if (isAbandoned || state != CommitState.NOT_SENT) {
            return false;
        }
        state = CommitState.SENT;
        return true;
    }

    /** Records that the database has rejected the commit that was sent. */
    public void onRejected() {
        if (state == CommitState.SENT) {
            state = CommitState.REJECTED;
        }
    }

    /** Records that the database has confirmed the commit that was sent. */
    public void onConfirmed() {
        if (state == CommitState.SENT) {
            state = CommitState.COMMITTED;
        }
    }

    /** Records that an earlier attempt with the same request id has committed. */
    public void onEarlierCommitFound() {
        state = CommitState.COMMITTED_EARLIER;
    }

    /** Records that the connection is closed, or that nobody waits for its request any more. */
    public void abandon() {
        isAbandoned = true;
    }

    /**
     * Returns what is known of the current request's effect.
     *
     * @return never null
     */
    public CommitState state() {
        return state;
    }
}
