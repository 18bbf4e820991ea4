package org.chivevale.core.failover;

import org.chivevale.core.group.EndpointId;

/**
 * Next action of the control process in the failover or switchover of one group.
 *
 * <p>Immutable.
 */
public sealed interface FailoverAction {
    /** No action now. */
    record NoAction() implements FailoverAction {}

    /**
     * The failover cannot proceed or start yet.
     *
     * @param reason what it is waiting for
     */
    record Blocked(String reason) implements FailoverAction {}

    /**
     * Append the fencing of the primary to the log.
     *
     * @param reason why the primary is replaced
     * @param planned true for a switchover, false for a failover
     */
    record Fence(String reason, boolean planned) implements FailoverAction {}

    /** Disconnect the replicas from the old primary and query all members for their positions. */
    record Collect() implements FailoverAction {}

    /**
     * Append the chosen candidate to the log.
     *
     * @param candidate the member to promote
     */
    record Choose(EndpointId candidate) implements FailoverAction {}

    /**
     * Append to the log that the old primary, which is intact, stays primary.
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
     * Append the new primary to the log.
     *
     * @param primary the promoted member
     * @param term the timeline that the promotion started
     * @param startPosition the log position at which that timeline starts
     */
    record Publish(EndpointId primary, long term, long startPosition) implements FailoverAction {}

    /** Append to the log that the promotion timed out, so that a candidate is chosen anew. */
    record AbandonCandidate() implements FailoverAction {}
}
