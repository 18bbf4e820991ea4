package org.chivevale.core.interactive;

/**
 * Says what follows from an endpoint's reply: an answer, another try, the fate of the connection.
 *
 * <p>Invariants: a write or commit that may have run is never tried again and never called "not
 * kept"; a transaction whose connection is closed before its commit was sent is rolled back, so it
 * may be called aborted. Stateless and thread safe.
 */
public final class AttemptPolicy {
    /** What to do next. */
    public enum Step {
        /** Give the endpoint's answer to the caller. */
        DELIVER,
        /** Try again at another endpoint. */
        ELSEWHERE,
        /** Try again at the same endpoint, a little later. */
        AGAIN,
        /** Prepare the statement on the connection and run it there. */
        PREPARE,
        /** Tell the caller an error. */
        FAIL
    }

    /**
     * A decision.
     *
     * @param step what to do next
     * @param error what the caller is told when nothing else helps
     * @param keepConnection false when the connection must be closed
     */
    public record Decision(Step step, SessionError error, boolean keepConnection) {}

    private AttemptPolicy() {}

    /**
     * Decides.
     *
     * @param effect what the statement can change
     * @param reply how its run ended
     * @return the decision
     */
    public static Decision decide(Effect effect, Reply reply) {
        return switch (reply) {
            case SUCCESS -> new Decision(Step.DELIVER, null, true);
            case LOST -> lost(effect);
            case FAILED -> ran(effect, SessionError.FAILED);
            case TIMED_OUT -> ran(effect, SessionError.TIMED_OUT);
            default -> notRun(effect, reply);
        };
    }

    private static Decision lost(Effect effect) {
        return switch (effect) {
            case SINGLE_READ, BEGIN -> new Decision(Step.ELSEWHERE, SessionError.ABORTED, false);
            case SINGLE_WRITE, COMMIT -> new Decision(Step.FAIL, SessionError.IN_DOUBT, false);
            case IN_TRANSACTION, COMMIT_OF_READS ->
                    new Decision(Step.FAIL, SessionError.ABORTED, false);
        };
    }

    private static Decision ran(Effect effect, SessionError error) {
        if (effect == Effect.SINGLE_READ || effect == Effect.BEGIN) {
            return new Decision(Step.ELSEWHERE, error, true);
        }
        return new Decision(Step.FAIL, error, true);
    }

    private static Decision notRun(Effect effect, Reply reply) {
        boolean bound = effect == Effect.IN_TRANSACTION;
        boolean commit = effect == Effect.COMMIT || effect == Effect.COMMIT_OF_READS;
        return switch (reply) {
            case BUSY ->
                    new Decision(
                            bound || commit ? Step.AGAIN : Step.ELSEWHERE, SessionError.BUSY, true);
            case UNKNOWN_PREPARED ->
                    new Decision(
                            commit ? Step.FAIL : Step.PREPARE, SessionError.UNKNOWN_PREPARED, true);
            case BEHIND -> elsewhereUnlessBound(effect, SessionError.BEHIND, true);
            case NOT_PRIMARY ->
                    new Decision(
                            bound || commit ? Step.FAIL : Step.ELSEWHERE,
                            SessionError.NOT_PRIMARY,
                            !commit);
            case REFUSED -> new Decision(Step.FAIL, SessionError.ABORTED, false);
            default -> elsewhereUnlessBound(effect, SessionError.ABORTED, false);
        };
    }

    private static Decision elsewhereUnlessBound(
            Effect effect, SessionError error, boolean keepConnection) {
        boolean free =
                effect == Effect.SINGLE_READ
                        || effect == Effect.SINGLE_WRITE
                        || effect == Effect.BEGIN;
        return new Decision(free ? Step.ELSEWHERE : Step.FAIL, error, keepConnection);
    }
}
