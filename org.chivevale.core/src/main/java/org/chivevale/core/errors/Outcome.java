package org.chivevale.core.errors;

/**
 * Whether a request's effects exist.
 *
 * <p>Invariant: {@link #NOT_RUN} is only said when no effect exists and none can appear later.
 * Immutable.
 */
public enum Outcome {
    NOT_RUN("not-run"),
    RAN("ran"),
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /**
     * Returns the word used in answers.
     *
     * @return the published spelling
     */
    public String text() {
        return text;
    }
}
