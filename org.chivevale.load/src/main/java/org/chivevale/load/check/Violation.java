package org.chivevale.load.check;

/**
 * A broken promise.
 *
 * <p>Immutable.
 *
 * @param rule which promise
 * @param detail the events that break it
 */
public record Violation(Rule rule, String detail) {
    /** What is checked. */
    public enum Rule {
        LOST_WRITE,
        DOUBLED_WRITE,
        UNTRUE_NOT_RUN,
        READ_YOUR_WRITES,
        MONOTONIC_READS,
        TOO_OLD,
        CROSSED_ANSWER,
        VERSION_WENT_BACK
    }
}
