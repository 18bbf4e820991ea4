package org.chivevale.core.errors;

/**
 * Whether a request took effect.
 *
 * <p>Invariant: {@link #NOT_RUN} is reported only when no effect exists and none can appear later.
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
     * Returns the name used in responses.
     *
     * @return the name in the published API
     */
    public String text() {
        return text;
    }
}
