package org.chivevale.core.rate;

/**
 * Local token bucket of an account for the time in which the rate's owner does not respond.
 *
 * <p>Keeps requests running while the control processes elect a leader. Invariants: it is empty
 * when the outage starts; it fills with what the proxy spent on average before, which was within
 * the rate for all proxies together, or with a fraction of its even share if that is more; it holds
 * no more than half a second's tokens, or one if that is more. Not thread safe.
 */
public final class RateFallback {
    private static final double EVEN_SHARE_FRACTION = 0.7;
    private static final double CAPACITY_SECONDS = 0.5;
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private long lastFilledNanos;
    private boolean active;

    /** Ends the fallback and empties the bucket. */
    public void end() {
        active = false;
        tokens = 0;
    }

    /**
     * Takes a token if one is available.
     *
     * @param ratePerSecond the account's rate over all proxies
     * @param proxies how many proxies share it
     * @param spentPerSecond what this proxy spent on average while the owner responded
     * @param silentSinceNanos since when the owner has not responded
     * @param nowNanos the current time
     * @return true when a token was taken
     */
    public boolean tryTake(
            double ratePerSecond,
            int proxies,
            double spentPerSecond,
            long silentSinceNanos,
            long nowNanos) {
        double evenShare = EVEN_SHARE_FRACTION * ratePerSecond / Math.max(1, proxies);
        double share = Math.max(evenShare, Math.min(spentPerSecond, ratePerSecond));
        if (!active) {
            active = true;
            lastFilledNanos = silentSinceNanos;
        }
        double elapsedSeconds = (nowNanos - lastFilledNanos) / NANOS_PER_SECOND;
        tokens = Math.min(Math.max(1, share * CAPACITY_SECONDS), tokens + elapsedSeconds * share);
        lastFilledNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
