package org.chivevale.consensus;

/**
 * What the agreed entries are applied to.
 *
 * <p>Contract: the same entries in the same order give the same state in every process. Called by
 * one thread.
 */
public interface StateMachine {
    /**
     * Applies an agreed entry.
     *
     * @param index its index
     * @param payload what was appended
     * @return false when the entry came too late to have an effect
     */
    boolean apply(long index, byte[] payload);

    /**
     * Writes the state.
     *
     * @return what {@link #restore} reads
     */
    byte[] snapshot();

    /**
     * Replaces the state.
     *
     * @param state a result of {@link #snapshot}
     */
    void restore(byte[] state);

    /**
     * Learns who decides.
     *
     * @param leading true when this process does
     * @param term the term of the log
     */
    void leadership(boolean leading, long term);
}
