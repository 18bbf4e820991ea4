package org.chivevale.consensus;

/**
 * The state machine that committed entries are applied to.
 *
 * <p>Contract: applying is deterministic, so that the same entries in the same order give the same
 * state in every process. Called by one thread.
 */
public interface StateMachine {
    /**
     * Applies a committed entry.
     *
     * @param index its index in the log
     * @param payload the serialized entry
     * @return false when an earlier entry superseded it, so that it had no effect
     */
    boolean apply(long index, byte[] payload);

    /**
     * Serializes the state.
     *
     * @return a snapshot that {@link #restore} reads
     */
    byte[] snapshot();

    /**
     * Replaces the state by a snapshot.
     *
     * @param state a result of {@link #snapshot}
     */
    void restore(byte[] state);

    /**
     * Handles a change of this process's leadership.
     *
     * @param isLeader true when this process became leader, false when it lost leadership
     * @param term the current term of the log
     */
    void onLeadershipChange(boolean isLeader, long term);
}
