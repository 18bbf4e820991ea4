package org.chivevale.core.failover;

/**
 * How far the replacement of a primary has come; the name is what the log records.
 *
 * <p>Immutable.
 */
public enum FailoverPhase {
    /** No proxy may use the old primary any more; waiting until each has acknowledged that. */
    FENCING,
    /** As FENCING, but an operator accepts that acknowledged writes may be lost. */
    FENCING_WITH_LOSS,
    /** The candidate is chosen and is being promoted. */
    PROMOTING,
    /** As PROMOTING, but an operator accepted a loss before. */
    PROMOTING_WITH_LOSS;

    /**
     * Tells whether an operator accepted a loss.
     *
     * @return true for the phases with loss
     */
    public boolean withLoss() {
        return this == FENCING_WITH_LOSS || this == PROMOTING_WITH_LOSS;
    }

    /**
     * Tells whether a candidate is chosen.
     *
     * @return true for the promoting phases
     */
    public boolean promoting() {
        return this == PROMOTING || this == PROMOTING_WITH_LOSS;
    }
}
