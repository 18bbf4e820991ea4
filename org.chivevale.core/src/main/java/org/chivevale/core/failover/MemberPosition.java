package org.chivevale.core.failover;

import org.chivevale.core.config.Group;
import org.chivevale.core.group.EndpointId;

/**
 * A member's response to the position query after the fence came into force.
 *
 * <p>Immutable.
 *
 * @param endpoint the member
 * @param primary true when it runs as a primary
 * @param timeline the timeline it is on; the group's term for a replica that holds an undiverged
 *     beginning of it
 * @param position the highest position it holds
 */
public record MemberPosition(EndpointId endpoint, boolean primary, long timeline, long position) {
    /**
     * Creates the position of a member from its status.
     *
     * <p>A replica reports the timeline of the last record that it holds, which is an earlier one
     * until the primary writes after its promotion. If the group's log shows that all it holds
     * survived into the current term, it counts as being on the current timeline.
     *
     * @param group the group with its current term
     * @param endpoint the member
     * @param primary true when it runs as a primary
     * @param timeline the timeline that it reports
     * @param position the highest position it holds
     * @return the position
     */
    public static MemberPosition of(
            Group group, EndpointId endpoint, boolean primary, long timeline, long position) {
        boolean isOnCurrentTimeline =
                !primary
                        && timeline < group.term()
                        && (position == 0 || group.carriesOver(timeline, position));
        return new MemberPosition(
                endpoint, primary, isOnCurrentTimeline ? group.term() : timeline, position);
    }
}
