package org.chivevale.load.check;

/**
 * A violated guarantee.
 *
 * <p>Immutable.
 *
 * @param rule the guarantee
 * @param detail the events that violate it
 */
public record Violation(Rule rule, String detail) {
    /** The guarantees that are checked. */
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
