package org.chivevale.core.errors;

/**
 * Unchecked exception with a numbered result code.
 *
 * <p>Has no stack trace. Invariant: the code and the outcome are never null. Immutable.
 */
public final class ChivevaleException extends RuntimeException {
    private final ResultCode code;
    private final Outcome outcome;

    /**
     * Creates an exception for an operation that had no effect.
     *
     * @param code the numbered code
     * @param message what failed, with the object and its id
     */
    public ChivevaleException(ResultCode code, String message) {
        this(code, Outcome.NOT_RUN, message);
    }

    /**
     * Creates an exception.
     *
     * @param code the numbered code
     * @param outcome whether the operation had an effect
     * @param message what failed, with the object and its id
     */
    public ChivevaleException(ResultCode code, Outcome outcome, String message) {
        super(message, null, false, false);
        this.code = code;
        this.outcome = outcome;
    }

    /**
     * Returns the code.
     *
     * @return never null
     */
    public ResultCode code() {
        return code;
    }

    /**
     * Tells whether the operation had an effect.
     *
     * @return never null
     */
    public Outcome outcome() {
        return outcome;
    }
}
