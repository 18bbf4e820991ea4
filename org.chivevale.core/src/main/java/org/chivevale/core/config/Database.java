package org.chivevale.core.config;

/**
 * A database as operators have set it.
 *
 * <p>Immutable.
 *
 * @param name the database's name
 * @param slots how many groups it is split into
 * @param acknowledgeByQuorum true when a write is acknowledged once a majority of the group's
 *     endpoints hold it, false when the primary alone is enough
 * @param endpointsPerGroup how many endpoints hold a copy of each group
 * @param connectionLimit connections that an endpoint accepts in total; 0 when the endpoint
 *     announces its limit
 * @param promotionAnswers members that must respond before a promotion; 0 for the smallest number
 *     that cannot miss an acknowledged write
 * @param warmupRatePerSecond requests per second that a cold endpoint accepts from all proxies
 *     together; 0 for no limit
 */
public record Database(
        String name,
        int slots,
        boolean acknowledgeByQuorum,
        int endpointsPerGroup,
        int connectionLimit,
        int promotionAnswers,
        double warmupRatePerSecond) {
    /**
     * Returns how many members must respond before a promotion.
     *
     * <p>Unless set, one of them then holds every write that a quorum held, however many members
     * there are: while one is replaced, the group has more of them than configured.
     *
     * @param members how many members may have held a write, with the replaced primary
     * @return the set number, or the smallest number that intersects every quorum
     */
    public int requiredPromotionResponses(int members) {
        if (promotionAnswers > 0) {
            return promotionAnswers;
        }
        int holders =
                acknowledgeByQuorum ? Math.max(endpointsPerGroup, members) : endpointsPerGroup;
        return holders - quorum() + 1;
    }

    /**
     * Tells whether replicas acknowledge writes, so that a promotion must not miss those that a
     * quorum held.
     *
     * @return false when the primary acknowledges alone, or the number of responses is set
     */
    public boolean isCoverageRequired() {
        return acknowledgeByQuorum && promotionAnswers == 0;
    }

    /**
     * Returns how many endpoints must hold a write.
     *
     * @return a majority of the group's endpoints
     */
    public int quorum() {
        return endpointsPerGroup / 2 + 1;
    }

    /**
     * Returns how many replicas must hold a write before it is acknowledged.
     *
     * @return 0 when the primary alone is enough
     */
    public int replicasForAcknowledgement() {
        return acknowledgeByQuorum ? quorum() - 1 : 0;
    }
}
