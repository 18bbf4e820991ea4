package org.chivevale.core.failover;

import java.util.Map;
import org.chivevale.core.group.EndpointId;

/**
 * Input of {@link FailoverPolicy}: the state in the log and the members' responses.
 *
 * <p>Immutable.
 *
 * @param phase the phase in the log, or null when no failover is in progress
 * @param term the term in the log
 * @param primary the primary in the log; null once it is fenced
 * @param replaced the primary that is being replaced
 * @param candidate the candidate in the log, or null
 * @param planned true for a switchover: requested by an operator, or due to a primary's shutdown or
 *     the evacuation of its data centre
 * @param preferred the member that a switchover should promote, or null for any
 * @param suspected true when the primary is suspected to have failed
 * @param lossReason why control itself takes the primary as lost, or null
 * @param shuttingDown true when the primary, or the one being replaced, has announced its shutdown
 * @param fenceInForce true when no proxy can act on the old primary any more
 * @param coverage which responses are needed before a member is chosen
 * @param knownMembers how many members have announced themselves
 * @param positions the members' responses since the fence came into force
 * @param collectingForMillis how long positions have been collected
 * @param promotionResponse the candidate's response to the promotion, or null
 * @param promotingForMillis how long the promotion has been running
 * @param eligibility which members may become primary
 * @param evacuationPaused true while a further switchover because of an evacuation must wait
 */
public record FailoverView(
        FailoverPhase phase,
        long term,
        EndpointId primary,
        EndpointId replaced,
        EndpointId candidate,
        boolean planned,
        EndpointId preferred,
        boolean suspected,
        String lossReason,
        boolean shuttingDown,
        boolean fenceInForce,
        WriteCoverage coverage,
        int knownMembers,
        Map<EndpointId, MemberPosition> positions,
        long collectingForMillis,
        MemberPosition promotionResponse,
        long promotingForMillis,
        PrimaryEligibility eligibility,
        boolean evacuationPaused) {
    public FailoverView {
        positions = Map.copyOf(positions);
    }
}
