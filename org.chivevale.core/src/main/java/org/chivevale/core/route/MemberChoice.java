package org.chivevale.core.route;

import java.util.List;

/**
 * Chooses the member for a read by expected response time and distance.
 *
 * <p>Meant for many short reads over few connections: a near member is preferred until waiting in
 * its queue costs more than the distance to another. Reads at the primary pay a surcharge, since
 * only the primary can serve writes. Stateless and thread safe.
 */
public final class MemberChoice {
    /** Returned when there is no member to choose. */
    public static final int NONE = -1;

    private static final double[] DISTANCE_COST_MILLIS = {0, 4, 60};
    private static final double PRIMARY_COST_MILLIS = 25;
    private static final double UNKNOWN_FRESHNESS_COST_MILLIS = 3;
    private static final double AVOIDED_COST_MILLIS = 2000;

    private MemberChoice() {}

    /**
     * Chooses the member with the lowest cost.
     *
     * @param members the members that could serve the read
     * @return the member's index, or {@link #NONE}
     */
    public static int choose(List<MemberView> members) {
        int best = NONE;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < members.size(); i++) {
            double cost = costMillis(members.get(i));
            if (cost < bestCost) {
                best = i;
                bestCost = cost;
            }
        }
        return best;
    }

    private static double costMillis(MemberView member) {
        double queueRounds = (double) member.pendingRequests() / Math.max(1, member.connections());
        double cost = DISTANCE_COST_MILLIS[member.distance()];
        cost += member.responseMillis() * (1 + queueRounds);
        cost += member.primary() ? PRIMARY_COST_MILLIS : 0;
        cost += member.fresh() || member.primary() ? 0 : UNKNOWN_FRESHNESS_COST_MILLIS;
        cost += member.avoided() ? AVOIDED_COST_MILLIS : 0;
        return cost;
    }
}
