package org.chivevale.core.interactive;

/** Errors that a caller's session is told; some promise that nothing of the attempt is kept. */
public enum SessionError {
    /** Nothing is kept: there is no room now. */
    BUSY(true),
    /** Nothing is kept: the transaction was rolled back. */
    ABORTED(true),
    /** Nothing is kept: no endpoint is fresh enough. */
    BEHIND(true),
    /** Nothing is kept: the endpoint does not take writes. */
    NOT_PRIMARY(true),
    /** The statement ran and failed. */
    FAILED(false),
    /** The statement did not end in time. */
    TIMED_OUT(false),
    /** The write or commit may or may not have happened. */
    IN_DOUBT(false),
    /** The name of a prepared statement is unknown. */
    UNKNOWN_PREPARED(false),
    /** The statement is not understood or not allowed in the transaction's state. */
    MALFORMED(false),
    /** The key is unknown. */
    DENIED(false),
    /** There is no such database. */
    NO_DATABASE(false);

    private final boolean nothingKept;

    SessionError(boolean nothingKept) {
        this.nothingKept = nothingKept;
    }

    /**
     * Tells what the error promises.
     *
     * @return true when nothing of the attempt is kept
     */
    public boolean nothingKept() {
        return nothingKept;
    }
}
