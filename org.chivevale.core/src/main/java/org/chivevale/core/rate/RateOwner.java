package org.chivevale.core.rate;

import java.util.HashMap;
import java.util.Map;

/**
 * Token bucket of one client account, which grants tokens to proxies ahead of their use.
 *
 * <p>Invariant: tokens in the bucket plus tokens granted and not known to be spent or expired never
 * exceed the burst, and the bucket refills at the rate. So within any window the fleet admits at
 * most rate times window plus burst. A new owner starts empty. Tokens that no request waits for are
 * granted only while more than half of the burst is left for requests that do. Not thread safe.
 */
public final class RateOwner {
    private static final double NANOS_PER_SECOND = 1e9;

    /** The part of the burst that is kept for requests that wait. */
    private static final double RESERVED_FRACTION = 0.5;

    private final Map<Long, Grant> open = new HashMap<>();
    private final long expiryMarginNanos;
    private double ratePerSecond;
    private double burst;
    private double level;
    private long lastRefilledNanos;
    private long nextGrantId;

    private record Grant(String proxy, int tokens, long endNanos) {}

    /**
     * Tokens that one proxy may spend.
     *
     * @param id unique among the grants of the owner
     * @param tokens number of tokens; 0 when the bucket has none
     * @param validNanos how long they may be spent, counted from sending the request
     * @param retryAfterNanos time until a token is refilled when none was granted to requests that
     *     wait; else 0
     */
    public record Granted(long id, int tokens, long validNanos, long retryAfterNanos) {}

    /**
     * Creates an empty bucket.
     *
     * @param ratePerSecond tokens a second
     * @param burst the most that may be spent at once
     * @param expiryMarginNanos how long the owner counts a grant as outstanding after its validity
     * @param firstGrantId the first grant id; must differ between owners
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
        this.lastRefilledNanos = nowNanos;
    }

    /**
     * Changes the rate and the burst; a smaller burst removes tokens from the bucket.
     *
     * @param newRatePerSecond tokens a second
     * @param newBurst the most that may be spent at once
     * @param nowNanos the monotonic time
     */
    public void updateRate(double newRatePerSecond, double newBurst, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        level = Math.max(0, Math.min(level, burst - outstanding()));
    }

    /**
     * Grants tokens.
     *
     * @param proxy the requesting proxy
     * @param waiting tokens for requests that wait
     * @param ahead tokens for requests that are expected
     * @param validNanos how long the proxy may spend them
     * @param nowNanos the monotonic time
     * @return the grant, with 0 tokens when the bucket has none
     */
    public Granted grant(String proxy, int waiting, int ahead, long validNanos, long nowNanos) {
        refill(nowNanos);
        int tokens = (int) Math.min(waiting, Math.floor(level));
        double spare = Math.floor(level - tokens - RESERVED_FRACTION * burst);
        tokens += (int) Math.max(0, Math.min(ahead, spare));
        if (tokens <= 0 && waiting <= 0) {
            return new Granted(0, 0, 0, 0);
        }
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
     * Closes a grant and puts its unspent tokens back into the bucket.
     *
     * @param proxy the proxy that held the grant
     * @param grantId the grant; ignored when unknown, expired or held by another proxy
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
     * Returns the number of tokens that proxies may still spend.
     *
     * @return tokens of grants that are neither closed nor expired
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
        double elapsedSeconds = (nowNanos - lastRefilledNanos) / NANOS_PER_SECOND;
        lastRefilledNanos = nowNanos;
        double capacity = Math.max(0, burst - outstanding());
        level = Math.min(capacity, level + elapsedSeconds * ratePerSecond);
    }
}
