package org.chivevale.database;

/**
 * What a connection knows of the effect of its current request.
 *
 * <p>Immutable.
 */
public enum CommitState {
    /** No commit was sent; the request has no effect. */
    NOT_SENT(false),
    /** The commit was sent and has no response yet; the effect is unknown. */
    SENT(true),
    /** The database rejected the commit; the request has no effect. */
    REJECTED(false),
    /** The commit was confirmed. */
    COMMITTED(true),
    /** An earlier attempt with the same request id has committed; this one changes nothing. */
    COMMITTED_EARLIER(true);

    private final boolean mayHaveEffect;

    CommitState(boolean mayHaveEffect) {
        this.mayHaveEffect = mayHaveEffect;
    }

    /**
     * Tells whether the request may have taken effect.
     *
     * @return false only when it has no effect and can get none later
     */
    public boolean mayHaveEffect() {
        return mayHaveEffect;
    }

    /**
     * Tells whether an error of the database can still mean that the request has no effect.
     *
     * @return false once the request, or an earlier attempt of it, has committed
     */
    public boolean canBeRejected() {
        return this != COMMITTED && this != COMMITTED_EARLIER;
    }

    /**
     * Returns how the loss of the connection in this state is classified.
     *
     * @return a kind that says whether the request may have taken effect
     */
    public DatabaseFailure.Kind kindOfLoss() {
        return mayHaveEffect
                ? DatabaseFailure.Kind.LOST_AFTER_COMMIT
                : DatabaseFailure.Kind.LOST_BEFORE_COMMIT;
    }
}
