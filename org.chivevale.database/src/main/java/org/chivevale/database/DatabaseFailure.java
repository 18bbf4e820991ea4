package org.chivevale.database;

/**
 * Failure of a request to an endpoint.
 *
 * <p>Immutable.
 */
public final class DatabaseFailure extends RuntimeException {
    private final Kind kind;
    private final String sqlState;

    /** Kinds of failure; each implies whether the request may have taken effect. */
    public enum Kind {
        /** The database rejected the statement; no effect. */
        STATEMENT,
        /** The results exceed the size limits; no effect. */
        ANSWER_TOO_LARGE,
        /** The endpoint is not the primary of the expected term; no effect. */
        TERM_REPLACED,
        /** The request id was already used with another body; this request has no effect. */
        REQUEST_ID_REUSED,
        /** The endpoint had no capacity for the request; no effect. */
        NO_FREE_SLOT,
        /** The client account's role does not exist yet; no effect. */
        ROLE_MISSING,
        /** The connection was lost before the commit was sent; no effect. */
        LOST_BEFORE_COMMIT,
        /** The connection was lost after the commit was sent; the effect is unknown. */
        LOST_AFTER_COMMIT
    }

    /**
     * Creates a failure.
     *
     * @param kind its kind
     * @param sqlState the database's SQLSTATE, or an empty string
     * @param message what happened
     */
    public DatabaseFailure(Kind kind, String sqlState, String message) {
        super(message, null, false, false);
        this.kind = kind;
        this.sqlState = sqlState;
    }

    /**
     * Tells whether a request failed since the endpoint had no capacity for it.
     *
     * @param failure how the request failed
     * @return false for every other failure
     */
    public static boolean isNoFreeSlot(Throwable failure) {
        return failure instanceof DatabaseFailure known && known.kind() == Kind.NO_FREE_SLOT;
    }

    /**
     * Returns the kind.
     *
     * @return never null
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the database's SQLSTATE.
     *
     * @return five characters, or an empty string
     */
    public String sqlState() {
        return sqlState;
    }
}
