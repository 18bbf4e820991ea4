package org.chivevale.core.failover;

/**
 * Phase of replacing a primary; log entries carry the constant's name.
 *
 * <p>Immutable.
 */
public enum FailoverPhase {
    /** The old primary is fenced; waits until no proxy can act on it any more. */
    FENCING,
    /** Like {@link #FENCING}, but an operator accepts the loss of acknowledged writes. */
    FENCING_WITH_LOSS,
    /** The candidate is chosen and is being promoted. */
    PROMOTING,
    /** Like {@link #PROMOTING}, after an operator accepted the loss of acknowledged writes. */
    PROMOTING_WITH_LOSS;

    /**
     * Tells whether an operator accepted the loss of acknowledged writes.
     *
     * @return true in both phases that are named so
     */
    public boolean isLossAccepted() {
        return this == FENCING_WITH_LOSS || this == PROMOTING_WITH_LOSS;
    }

    /**
     * Tells whether a candidate is chosen.
     *
     * @return true in both promoting phases
     */
    public boolean isPromoting() {
        return this == PROMOTING || this == PROMOTING_WITH_LOSS;
    }
}
