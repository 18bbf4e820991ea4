package org.chivevale.database;

/**
 * Why an endpoint did not do what it was asked.
 *
 * <p>Immutable.
 */
public final class DatabaseFailure extends RuntimeException {
    private final Kind kind;
    private final String sqlState;

    /** Kinds of failure; each says whether an effect may exist. */
    public enum Kind {
        /** The database refused the statement; no effect. */
        STATEMENT,
        /** The answer is above its limits; no effect. */
        ANSWER_TOO_LARGE,
        /** The endpoint is not the primary of the term; no effect. */
        TERM_REPLACED,
        /** The request's id came before with another body; this request has no effect. */
        REQUEST_ID_REUSED,
        /** The client account's role is not there yet; no effect. */
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
     * @param sqlState the database's code, or an empty text
     * @param message what happened
     */
    public DatabaseFailure(Kind kind, String sqlState, String message) {
        super(message, null, false, false);
        this.kind = kind;
        this.sqlState = sqlState;
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
     * Returns the database's code.
     *
     * @return five characters, or an empty text
     */
    public String sqlState() {
        return sqlState;
    }
}
