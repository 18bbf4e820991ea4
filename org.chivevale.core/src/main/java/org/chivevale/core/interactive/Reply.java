package org.chivevale.core.interactive;

/** How an endpoint's side of a statement ended, as far as the proxy can tell. */
public enum Reply {
    /** The whole answer came. */
    SUCCESS(true),
    /** Not run: no slot was free. */
    BUSY(false),
    /** Not run: the connection does not know the prepared statement. */
    UNKNOWN_PREPARED(false),
    /** Not run: the log lacks the position that was asked for. */
    BEHIND(false),
    /** Not run: the endpoint does not lead. */
    NOT_PRIMARY(false),
    /** Not run: another endpoint answers at the address. */
    OTHER_ENDPOINT(false),
    /** Not run: the endpoint takes no more connections. */
    CONNECTIONS_EXHAUSTED(false),
    /** Not run: no connection came about, so nothing was read by the endpoint. */
    UNREACHABLE(false),
    /** Not run: the statement was not understood in the transaction's state. */
    REFUSED(false),
    /** Run, with an error. */
    FAILED(true),
    /** Run, and given up by the endpoint. */
    TIMED_OUT(true),
    /** No whole answer came; it may have run. */
    LOST(true);

    private final boolean mayHaveRun;

    Reply(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Tells whether the statement may have had an effect.
     *
     * @return false when the endpoint surely did not run it
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
