package org.chivevale.core.rate;

/**
 * What a proxy admits of an account's rate while the rate's owner does not answer.
 *
 * <p>Answers the load that goes on while control elects a leader. Invariants: it begins empty; it
 * fills with a part of the proxy's even share only, so that all proxies together stay below the
 * account's rate even when some of them still reach the owner; nothing is saved for later than half
 * a second. Not thread safe.
 */
public final class RateFallback {
    private static final double PART_OF_EVEN_SHARE = 0.7;
    private static final double SAVED_SECONDS = 0.5;
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private long filledNanos;
    private boolean filling;

    /** Ends the fallback; the next one begins empty. */
    public void end() {
        filling = false;
        tokens = 0;
    }

    /**
     * Takes a token if there is one.
     *
     * @param ratePerSecond the account's rate over all proxies
     * @param proxies how many proxies share it
     * @param nowNanos the time
     * @return true when an operation may run
     */
    public boolean tryTake(double ratePerSecond, int proxies, long nowNanos) {
        double share = PART_OF_EVEN_SHARE * ratePerSecond / Math.max(1, proxies);
        if (filling) {
            double elapsedSeconds = (nowNanos - filledNanos) / NANOS_PER_SECOND;
            tokens = Math.min(Math.max(1, share * SAVED_SECONDS), tokens + elapsedSeconds * share);
        }
        filling = true;
        filledNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
