package org.chivevale.core.interactive;

/**
 * Decides on an endpoint's reply: deliver, retry or fail, and keep or close the connection.
 *
 * <p>Invariants: a write or commit that may have run is never retried and never reported as without
 * effect; a transaction whose connection is closed before its commit was sent is rolled back, so it
 * may be reported as aborted. Stateless and thread safe.
 */
public final class AttemptPolicy {
    /** What to do next. */
    public enum Step {
        /** Deliver the endpoint's result to the caller. */
        DELIVER,
        /** Retry at another endpoint. */
        RETRY_ELSEWHERE,
        /** Retry at the same endpoint after a short delay. */
        RETRY_SAME_ENDPOINT,
        /** Prepare the statement on the connection and run it there. */
        PREPARE,
        /** Report an error to the caller. */
        FAIL
    }

    /**
     * A decision.
     *
     * @param step what to do next
     * @param error the error to report when the step is to fail or cannot succeed; null on success
     * @param keepConnection false when the connection must be closed
     */
    public record Decision(Step step, SessionError error, boolean keepConnection) {}

    private AttemptPolicy() {}

    /**
     * Decides how to proceed.
     *
     * @param effect the effect that the statement can have
     * @param reply how it ended at the endpoint
     * @return the decision
     */
    public static Decision decide(Effect effect, Reply reply) {
        return switch (reply) {
            case SUCCESS -> new Decision(Step.DELIVER, null, true);
            case LOST -> decideLost(effect);
            case FAILED -> decideRun(effect, SessionError.FAILED);
            case TIMED_OUT -> decideRun(effect, SessionError.TIMED_OUT);
            default -> decideNotRun(effect, reply);
        };
    }

    private static Decision decideLost(Effect effect) {
        return switch (effect) {
            case SINGLE_READ, BEGIN ->
                    new Decision(Step.RETRY_ELSEWHERE, SessionError.ABORTED, false);
            case SINGLE_WRITE, COMMIT -> new Decision(Step.FAIL, SessionError.IN_DOUBT, false);
            case IN_TRANSACTION, COMMIT_OF_READS ->
                    new Decision(Step.FAIL, SessionError.ABORTED, false);
        };
    }

    private static Decision decideRun(Effect effect, SessionError error) {
        if (effect == Effect.SINGLE_READ || effect == Effect.BEGIN) {
            return new Decision(Step.RETRY_ELSEWHERE, error, true);
        }
        return new Decision(Step.FAIL, error, true);
    }

    private static Decision decideNotRun(Effect effect, Reply reply) {
        boolean inTransaction = effect == Effect.IN_TRANSACTION;
        boolean commit = effect == Effect.COMMIT || effect == Effect.COMMIT_OF_READS;
        return switch (reply) {
            case BUSY ->
                    new Decision(
                            inTransaction || commit
                                    ? Step.RETRY_SAME_ENDPOINT
                                    : Step.RETRY_ELSEWHERE,
                            SessionError.BUSY,
                            true);
            case UNKNOWN_PREPARED ->
                    new Decision(
                            commit ? Step.FAIL : Step.PREPARE, SessionError.UNKNOWN_PREPARED, true);
            case BEHIND -> elsewhereUnlessInTransaction(effect, SessionError.BEHIND, true);
            case NOT_PRIMARY ->
                    new Decision(
                            inTransaction || commit ? Step.FAIL : Step.RETRY_ELSEWHERE,
                            SessionError.NOT_PRIMARY,
                            !commit);
            case REFUSED -> new Decision(Step.FAIL, SessionError.ABORTED, false);
            default -> elsewhereUnlessInTransaction(effect, SessionError.ABORTED, false);
        };
    }

    private static Decision elsewhereUnlessInTransaction(
            Effect effect, SessionError error, boolean keepConnection) {
        boolean canMove =
                effect == Effect.SINGLE_READ
                        || effect == Effect.SINGLE_WRITE
                        || effect == Effect.BEGIN;
        return new Decision(canMove ? Step.RETRY_ELSEWHERE : Step.FAIL, error, keepConnection);
    }
}
