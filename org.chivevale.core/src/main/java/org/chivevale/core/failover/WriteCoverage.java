package org.chivevale.core.failover;

/**
 * What is known of the writes that a group has acknowledged, to judge whether the members that have
 * answered hold all of them.
 *
 * <p>Immutable.
 *
 * @param requiredResponses how many members must report their positions, so that one of them holds
 *     every write that enough members held to acknowledge it
 * @param acknowledgedPosition the highest position of the group's term that a proxy is known to
 *     have acknowledged; 0 when none is known
 * @param expectedResponses how many members can respond at most, without the replaced primary and
 *     those that are known to be lost
 */
public record WriteCoverage(
        int requiredResponses, long acknowledgedPosition, int expectedResponses) {
    /**
     * Creates the coverage of a group of which no acknowledged position is known.
     *
     * @param requiredResponses how many members must report their positions
     * @return the coverage
     */
    public static WriteCoverage of(int requiredResponses) {
        return new WriteCoverage(requiredResponses, 0, requiredResponses);
    }

    /**
     * Tells whether a member holds every write that is known to be acknowledged.
     *
     * @param member the member's position
     * @param term the group's term
     * @return true also when no acknowledged position is known
     */
    boolean isHeldBy(MemberPosition member, long term) {
        return acknowledgedPosition == 0
                || member.timeline() > term
                || member.timeline() == term && member.position() >= acknowledgedPosition;
    }
}
