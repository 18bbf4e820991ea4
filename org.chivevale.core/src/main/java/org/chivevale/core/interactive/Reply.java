package org.chivevale.core.interactive;

/** How a statement ended at the endpoint, as far as the proxy can tell. */
public enum Reply {
    /** The complete response was received. */
    SUCCESS(true),
    /** Not run: no slot was free. */
    BUSY(false),
    /** Not run: the connection does not know the prepared statement. */
    UNKNOWN_PREPARED(false),
    /** Not run: the endpoint's log lacks the required position. */
    BEHIND(false),
    /** Not run: the endpoint is not the primary. */
    NOT_PRIMARY(false),
    /** Not run: another endpoint listens at the address. */
    OTHER_ENDPOINT(false),
    /** Not run: the endpoint accepts no more connections. */
    CONNECTIONS_EXHAUSTED(false),
    /** Not run: no connection was established, so the endpoint received nothing. */
    UNREACHABLE(false),
    /** Not run: the endpoint rejected the statement in the transaction's state. */
    REFUSED(false),
    /** Run, with an error. */
    FAILED(true),
    /** Run, and aborted by the endpoint at its timeout. */
    TIMED_OUT(true),
    /** No complete response was received; it may have run. */
    LOST(true);

    private final boolean mayHaveRun;

    Reply(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Tells whether the statement may have had an effect.
     *
     * @return false when the endpoint certainly did not run it
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
