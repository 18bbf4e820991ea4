package org.chivevale.core.failover;

import org.chivevale.core.group.EndpointId;

/**
 * What the control process has to do next for one group.
 *
 * <p>Immutable.
 */
public sealed interface FailoverAction {
    /** Nothing to do now. */
    record Rest() implements FailoverAction {}

    /**
     * The replacement can't go on.
     *
     * @param reason says what is missing
     */
    record Blocked(String reason) implements FailoverAction {}

    /**
     * Log that the primary is fenced.
     *
     * @param reason why it is replaced
     */
    record Fence(String reason) implements FailoverAction {}

    /** Cut the replicas off from the old primary and ask all members for their positions. */
    record Collect() implements FailoverAction {}

    /**
     * Log the choice of a candidate.
     *
     * @param candidate the member that is furthest
     */
    record Choose(EndpointId candidate) implements FailoverAction {}

    /**
     * Log that the old primary, which came back unharmed, stays primary.
     *
     * @param primary the old primary
     */
    record Reinstate(EndpointId primary) implements FailoverAction {}

    /**
     * Promote the candidate.
     *
     * @param candidate the chosen member
     */
    record Promote(EndpointId candidate) implements FailoverAction {}

    /**
     * Log the new primary.
     *
     * @param primary the promoted member
     * @param term its timeline
     * @param startPosition where its timeline began
     */
    record Publish(EndpointId primary, long term, long startPosition) implements FailoverAction {}

    /** Log that the candidate is lost, so that another is chosen. */
    record Reconsider() implements FailoverAction {}
}
