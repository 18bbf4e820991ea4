package org.chivevale.core.admission;

/**
 * Decides when a proxy reports its demand for the connections of one endpoint.
 *
 * <p>Answers the load of a large fleet, in which each proxy uses few of many endpoints at a time:
 * only differences travel. Invariants: a higher demand and a changed limit are reported at once; a
 * lower demand only after {@link #LOWER_DEMAND_NANOS}, so that bursts cause no reports. Not thread
 * safe.
 */
public final class DemandReport {
    private static final long LOWER_DEMAND_NANOS = 500_000_000;
    private static final int NEVER = -1;

    private int reportedDemand = NEVER;
    private int reportedLimit = NEVER;
    private long demandLastReachedNanos;

    /**
     * Decides whether a report is due, and records it as sent if it is.
     *
     * @param demand the most requests that used or waited for a connection at a time
     * @param limitInForce connections that it may have open
     * @param all true when every demand must be reported
     * @param nowNanos the monotonic time
     * @return true when the report must be sent
     */
    public boolean takeDue(int demand, int limitInForce, boolean all, long nowNanos) {
        if (demand >= reportedDemand) {
            demandLastReachedNanos = nowNanos;
        }
        boolean isLower =
                demand < reportedDemand && nowNanos - demandLastReachedNanos > LOWER_DEMAND_NANOS;
        boolean isDue = all || isLower || demand > reportedDemand || limitInForce != reportedLimit;
        if (!isDue) {
            return false;
        }
        reportedDemand = demand;
        reportedLimit = limitInForce;
        demandLastReachedNanos = nowNanos;
        return true;
    }
}
