package org.chivevale.core.failover;

import java.util.Map;
import org.chivevale.core.group.EndpointId;

/**
 * Everything that the next step of a replacement depends on.
 *
 * <p>Immutable.
 *
 * @param phase the phase in the log, or null when no replacement is under way
 * @param term the term in the log
 * @param primary the primary in the log; null once fenced
 * @param replaced the primary that is being replaced
 * @param candidate the candidate in the log, or null
 * @param planned true for a hand-over that an operator asked for or a leaving primary
 * @param preferred the member that a hand-over should promote, or null
 * @param suspected true when the primary is suspected
 * @param leaving true when the primary has announced that it leaves
 * @param fenceInForce true when no proxy can act on the old primary any more
 * @param answersNeeded how many members must answer with their positions
 * @param membersKnown how many members are announced
 * @param positions the answers collected since the fence was in force
 * @param collectingForMillis how long positions have been collected
 * @param promotion what the candidate answered, or null
 * @param promotingForMillis how long the promotion has been tried
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
        boolean leaving,
        boolean fenceInForce,
        int answersNeeded,
        int membersKnown,
        Map<EndpointId, MemberPosition> positions,
        long collectingForMillis,
        MemberPosition promotion,
        long promotingForMillis) {
    public FailoverView {
        positions = Map.copyOf(positions);
    }
}
