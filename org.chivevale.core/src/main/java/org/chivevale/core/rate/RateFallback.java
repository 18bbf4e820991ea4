package org.chivevale.core.rate;

/**
 * Local token bucket of an account for the time in which the rate's owner does not respond.
 *
 * <p>Keeps requests running while the control processes elect a leader. Invariants: it starts
 * empty; it fills with a fraction of the proxy's even share, so that all proxies together stay
 * below the account's rate even when some of them still reach the owner; it holds no more than half
 * a second's tokens, or one if that is more. Not thread safe.
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
     * @param nowNanos the current time
     * @return true when a token was taken
     */
    public boolean tryTake(double ratePerSecond, int proxies, long nowNanos) {
        double share = EVEN_SHARE_FRACTION * ratePerSecond / Math.max(1, proxies);
        if (active) {
            double elapsedSeconds = (nowNanos - lastFilledNanos) / NANOS_PER_SECOND;
            tokens =
                    Math.min(
                            Math.max(1, share * CAPACITY_SECONDS), tokens + elapsedSeconds * share);
        }
        active = true;
        lastFilledNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
