package org.chivevale.core.rate;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Grants the tokens with which proxies send requests to one cold endpoint.
 *
 * <p>Invariant: in any window of one second, at most {@link WarmupLimit#bound} tokens can be spent.
 * A grant can be spent from now until its validity has passed, so it counts in every window that
 * touches that time. Tokens accrue at the rate and are granted only once they have accrued. A new
 * owner does not know the grants of earlier ones; it accrues nothing until they have expired. Not
 * thread safe.
 */
public final class WarmupOwner {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long WINDOW_NANOS = 1_000_000_000;

    /** Longest accrual that is kept, so that requests that arrive unevenly still use the rate. */
    private static final double MAX_ACCRUAL_SECONDS = 0.1;

    private final long grantNanos;
    private final Deque<Grant> recent = new ArrayDeque<>();
    private WarmupLimit limit;
    private double level;
    private long lastRefilledNanos;

    private record Grant(int tokens, long endNanos) {}

    /**
     * Creates an owner without tokens.
     *
     * @param limit the endpoint's limit
     * @param validNanos how long a grant is valid
     * @param marginNanos how much longer it counts as valid, for the drift between clocks
     * @param quietUntilNanos the monotonic time until which grants of earlier owners are valid
     */
    public WarmupOwner(WarmupLimit limit, long validNanos, long marginNanos, long quietUntilNanos) {
        this.limit = limit;
        this.grantNanos = validNanos + marginNanos;
        this.lastRefilledNanos = quietUntilNanos;
    }

    /**
     * Changes the limit.
     *
     * @param changed the endpoint's limit from now on
     * @param nowNanos the monotonic time
     */
    public void updateLimit(WarmupLimit changed, long nowNanos) {
        refill(nowNanos);
        limit = changed;
        level = Math.min(level, maxLevel());
    }

    /**
     * Grants tokens that have accrued.
     *
     * @param wanted the most tokens to grant
     * @param nowNanos the monotonic time
     * @return number of tokens, which may be spent until the validity has passed since the request
     *     for them was sent
     */
    public int grant(int wanted, long nowNanos) {
        refill(nowNanos);
        double room = limit.bound() - recent.stream().mapToInt(Grant::tokens).sum();
        int tokens = (int) Math.floor(Math.min(wanted, Math.min(level, room)));
        if (tokens <= 0) {
            return 0;
        }
        level -= tokens;
        recent.addLast(new Grant(tokens, nowNanos + grantNanos));
        return tokens;
    }

    /**
     * Tells whether the owner can be dropped.
     *
     * @param nowNanos the monotonic time
     * @return true when none of its grants counts any more
     */
    public boolean isIdle(long nowNanos) {
        refill(nowNanos);
        return recent.isEmpty();
    }

    private void refill(long nowNanos) {
        while (!recent.isEmpty() && nowNanos - recent.peekFirst().endNanos() >= WINDOW_NANOS) {
            recent.removeFirst();
        }
        long elapsedNanos = nowNanos - lastRefilledNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        lastRefilledNanos = nowNanos;
        double accrued = elapsedNanos / NANOS_PER_SECOND * accrualPerSecond();
        level = Math.min(maxLevel(), level + accrued);
    }

    private double maxLevel() {
        return Math.max(1, limit.ratePerSecond() * MAX_ACCRUAL_SECONDS);
    }

    /**
     * Returns the rate, or less where the bound is tight: grants of two owners that follow each
     * other must also fit into it, and the later one does not know those of the earlier.
     */
    private double accrualPerSecond() {
        double spendableSeconds = (WINDOW_NANOS + grantNanos) / NANOS_PER_SECOND;
        double safe = (limit.bound() - maxLevel()) / spendableSeconds;
        return Math.max(0, Math.min(limit.ratePerSecond(), safe));
    }
}
