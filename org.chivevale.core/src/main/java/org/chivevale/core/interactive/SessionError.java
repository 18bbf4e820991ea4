package org.chivevale.core.interactive;

/** Errors reported to a caller's session; some guarantee that the attempt had no effect. */
public enum SessionError {
    /** No effect: there is no capacity at the moment. */
    BUSY(true),
    /** No effect: the transaction was rolled back. */
    ABORTED(true),
    /** No effect: no endpoint is fresh enough. */
    BEHIND(true),
    /** No effect: the endpoint does not accept writes. */
    NOT_PRIMARY(true),
    /** The statement ran and failed. */
    FAILED(false),
    /** The statement did not end in time. */
    TIMED_OUT(false),
    /** The write or commit may or may not have taken effect. */
    IN_DOUBT(false),
    /** The name of a prepared statement is unknown. */
    UNKNOWN_PREPARED(false),
    /** The statement is not understood or not allowed in the transaction's state. */
    MALFORMED(false),
    /** The key is unknown. */
    DENIED(false),
    /** There is no such database. */
    NO_DATABASE(false);

    private final boolean guaranteesNoEffect;

    SessionError(boolean guaranteesNoEffect) {
        this.guaranteesNoEffect = guaranteesNoEffect;
    }

    /**
     * Tells whether the error guarantees that the attempt had no effect.
     *
     * @return true when nothing of the attempt took effect
     */
    public boolean guaranteesNoEffect() {
        return guaranteesNoEffect;
    }
}
