package org.chivevale.core.errors;

/**
 * Unchecked failure with a numbered code.
 *
 * <p>Invariant: the code and the outcome are never null. Immutable.
 */
public final class ChivevaleException extends RuntimeException {
    private final ResultCode code;
    private final Outcome outcome;

    /**
     * Creates a failure of something that had no effect.
     *
     * @param code the numbered code
     * @param message names the object and its id
     */
    public ChivevaleException(ResultCode code, String message) {
        this(code, Outcome.NOT_RUN, message);
    }

    /**
     * Creates a failure.
     *
     * @param code the numbered code
     * @param outcome whether effects exist
     * @param message names the object and its id
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
     * Tells whether effects exist.
     *
     * @return never null
     */
    public Outcome outcome() {
        return outcome;
    }
}
