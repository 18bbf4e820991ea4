package org.chivevale.core.rate;

import java.util.HashMap;
import java.util.Map;

/**
 * The token bucket of one client account, which grants tokens in advance to proxies.
 *
 * <p>Invariant: tokens in the bucket plus tokens granted and not known to be spent or expired never
 * exceed the burst, and the bucket refills at the rate. So over any window the fleet admits at most
 * rate times window plus burst. A new owner starts empty. Not thread safe.
 */
public final class RateOwner {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<Long, Grant> open = new HashMap<>();
    private final long expiryMarginNanos;
    private double ratePerSecond;
    private double burst;
    private double level;
    private long refilledNanos;
    private long nextGrantId;

    private record Grant(String proxy, int tokens, long endNanos) {}

    /**
     * Tokens that one proxy may spend.
     *
     * @param id tells the grant from others of the owner
     * @param tokens how many; 0 when there are none
     * @param validNanos how long they may be spent, counted from the request
     * @param retryAfterNanos when more may be there, if none were granted
     */
    public record Granted(long id, int tokens, long validNanos, long retryAfterNanos) {}

    /**
     * Creates an empty bucket.
     *
     * @param ratePerSecond tokens a second
     * @param burst the most that may be spent at once
     * @param expiryMarginNanos how much longer the owner counts a grant than the proxy
     * @param firstGrantId where grant ids start; differs for each owner
     * @param nowNanos the monotonic time
     */
    public RateOwner(
            double ratePerSecond,
            double burst,
            long expiryMarginNanos,
            long firstGrantId,
            long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.expiryMarginNanos = expiryMarginNanos;
        this.nextGrantId = firstGrantId;
        this.refilledNanos = nowNanos;
    }

    /**
     * Changes the rate; a smaller burst takes tokens from the bucket.
     *
     * @param newRatePerSecond tokens a second
     * @param newBurst the most that may be spent at once
     * @param nowNanos the monotonic time
     */
    public void change(double newRatePerSecond, double newBurst, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        level = Math.max(0, Math.min(level, burst - outstanding()));
    }

    /**
     * Grants tokens.
     *
     * @param proxy who asks
     * @param wanted how many at most
     * @param validNanos how long the proxy may spend them
     * @param nowNanos the monotonic time
     * @return the grant, with 0 tokens when the bucket has none
     */
    public Granted grant(String proxy, int wanted, long validNanos, long nowNanos) {
        refill(nowNanos);
        int tokens = (int) Math.min(wanted, Math.floor(level));
        if (tokens <= 0) {
            double missing = 1 - level;
            long waitNanos = (long) Math.ceil(missing / ratePerSecond * NANOS_PER_SECOND);
            return new Granted(0, 0, 0, Math.max(1, waitNanos));
        }
        level -= tokens;
        long id = nextGrantId++;
        open.put(id, new Grant(proxy, tokens, nowNanos + validNanos + expiryMarginNanos));
        return new Granted(id, tokens, validNanos, 0);
    }

    /**
     * Takes back what a proxy did not spend of a grant that it has closed.
     *
     * @param proxy who held it
     * @param grantId the grant
     * @param unused how many tokens were not and will not be spent
     * @param nowNanos the monotonic time
     */
    public void close(String proxy, long grantId, int unused, long nowNanos) {
        refill(nowNanos);
        Grant grant = open.get(grantId);
        if (grant == null || !grant.proxy().equals(proxy)) {
            return;
        }
        open.remove(grantId);
        int returned = Math.max(0, Math.min(unused, grant.tokens()));
        level = Math.min(level + returned, burst - outstanding());
    }

    /**
     * Returns the tokens that proxies may still spend.
     *
     * @return granted, not closed and not expired
     */
    public int outstanding() {
        int sum = 0;
        for (Grant grant : open.values()) {
            sum += grant.tokens();
        }
        return sum;
    }

    private void refill(long nowNanos) {
        open.values().removeIf(grant -> nowNanos - grant.endNanos() >= 0);
        double elapsedSeconds = (nowNanos - refilledNanos) / NANOS_PER_SECOND;
        refilledNanos = nowNanos;
        double room = Math.max(0, burst - outstanding());
        level = Math.min(room, level + elapsedSeconds * ratePerSecond);
    }
}
