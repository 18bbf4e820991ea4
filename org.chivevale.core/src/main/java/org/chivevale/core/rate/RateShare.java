package org.chivevale.core.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One proxy's tokens of one client account.
 *
 * <p>Tokens are requested ahead of demand, enough for the time that a change of the owner takes:
 * requests go on while the owner does not respond, and seldom wait for it otherwise. The owner
 * grants them while they are not missing where requests wait. Invariant: a token is spent at most
 * once and never after its grant has expired. Not thread safe.
 */
public final class RateShare {
    private static final long WINDOW_NANOS = 100_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private static final long AHEAD_PAUSE_NANOS = 2_000_000_000L;

    /** Mean demand per window from which at least one token is held. */
    private static final double MIN_PREFETCH_DEMAND = 0.02;

    /** Follows a burst within a few windows. */
    private static final double RECENT_SMOOTHING_FACTOR = 0.3;

    /** Averages over about a second, so that single requests of small accounts do not count. */
    private static final double MEAN_SMOOTHING_FACTOR = 0.1;

    /** Mean demand per window at which the windows of an idle time are skipped. */
    private static final double NEGLIGIBLE_DEMAND = 0.001;

    private final Deque<HeldGrant> held = new ArrayDeque<>();
    private final List<Closed> closed = new ArrayList<>();
    private final double windowsToCover;
    private long windowStartNanos;
    private int spentInWindow;
    private double recentPerWindow;
    private double meanPerWindow;
    private boolean isAheadPaused;
    private long aheadAgainNanos;

    private static final class HeldGrant {
        final long id;
        final long endNanos;
        int tokens;

        HeldGrant(long id, int tokens, long endNanos) {
            this.id = id;
            this.tokens = tokens;
            this.endNanos = endNanos;
        }
    }

    /**
     * A grant from which no more tokens will be spent.
     *
     * @param grantId the grant
     * @param unused how many of its tokens were not spent
     */
    public record Closed(long grantId, int unused) {}

    /**
     * Creates a share without tokens.
     *
     * @param coverNanos for how long tokens are held ahead of demand
     * @param nowNanos the monotonic time
     */
    public RateShare(long coverNanos, long nowNanos) {
        this.windowsToCover = (double) coverNanos / WINDOW_NANOS;
        this.windowStartNanos = nowNanos;
    }

    /**
     * Returns the rate at which tokens were spent in the last seconds.
     *
     * @param nowNanos the monotonic time
     * @return the mean in tokens a second
     */
    public double meanPerSecond(long nowNanos) {
        rollWindow(nowNanos);
        return meanPerWindow * NANOS_PER_SECOND / WINDOW_NANOS;
    }

    /**
     * Spends a token.
     *
     * @param nowNanos the monotonic time
     * @return false when none is held and one must be requested from the owner
     */
    public boolean tryTake(long nowNanos) {
        rollWindow(nowNanos);
        expire(nowNanos);
        HeldGrant first = held.peekFirst();
        if (first == null) {
            return false;
        }
        recordSpent(nowNanos);
        first.tokens--;
        if (first.tokens == 0) {
            closed.add(new Closed(first.id, 0));
            held.removeFirst();
        }
        return true;
    }

    /**
     * Counts a request as demand, as when it was admitted without a token of this share.
     *
     * @param nowNanos the monotonic time
     */
    public void recordSpent(long nowNanos) {
        rollWindow(nowNanos);
        spentInWindow++;
    }

    /**
     * Adds a grant of the owner.
     *
     * @param id the grant
     * @param tokens number of tokens
     * @param endNanos the monotonic time after which they may not be spent
     */
    public void addGrant(long id, int tokens, long endNanos) {
        held.addLast(new HeldGrant(id, tokens, endNanos));
    }

    /**
     * Returns how many tokens to request for requests that do not wait yet.
     *
     * @param nowNanos the monotonic time
     * @return enough for the demand expected in the time to cover
     */
    public int tokensAhead(long nowNanos) {
        rollWindow(nowNanos);
        return mayRequestAhead(nowNanos) ? Math.max(0, targetTokens() - tokens()) : 0;
    }

    private int targetTokens() {
        double expected = Math.max(recentPerWindow, meanPerWindow * windowsToCover);
        int atLeast = meanPerWindow >= MIN_PREFETCH_DEMAND ? 1 : 0;
        return Math.max(atLeast, (int) Math.round(expected));
    }

    /**
     * Stops requests for tokens ahead of demand for some time, since the owner has none to spare.
     *
     * @param nowNanos the monotonic time
     */
    public void pauseAhead(long nowNanos) {
        isAheadPaused = true;
        aheadAgainNanos = nowNanos + AHEAD_PAUSE_NANOS;
    }

    private boolean mayRequestAhead(long nowNanos) {
        isAheadPaused &= nowNanos - aheadAgainNanos < 0;
        return !isAheadPaused;
    }

    /**
     * Returns the number of tokens held.
     *
     * @return the sum over all grants
     */
    public int tokens() {
        int sum = 0;
        for (HeldGrant grant : held) {
            sum += grant.tokens;
        }
        return sum;
    }

    /**
     * Tells whether to request tokens before those held run out.
     *
     * @param nowNanos the monotonic time
     * @return true when less than three quarters of the target is held and requests ahead are not
     *     paused
     */
    public boolean isLow(long nowNanos) {
        rollWindow(nowNanos);
        return mayRequestAhead(nowNanos) && tokens() * 4 < targetTokens() * 3;
    }

    /**
     * Tells whether there are closed grants to report to the owner.
     *
     * @param nowNanos the monotonic time
     * @return true when {@link #drainClosedGrants} would return some
     */
    public boolean hasClosedGrants(long nowNanos) {
        expire(nowNanos);
        return !closed.isEmpty();
    }

    /**
     * Removes and returns the grants that were closed since the last call.
     *
     * @param nowNanos the monotonic time
     * @return the closed grants, to be reported to the owner
     */
    public List<Closed> drainClosedGrants(long nowNanos) {
        expire(nowNanos);
        List<Closed> drained = new ArrayList<>(closed);
        closed.clear();
        return drained;
    }

    private void expire(long nowNanos) {
        while (!held.isEmpty() && nowNanos - held.peekFirst().endNanos >= 0) {
            HeldGrant expired = held.removeFirst();
            closed.add(new Closed(expired.id, expired.tokens));
        }
    }

    private void rollWindow(long nowNanos) {
        while (nowNanos - windowStartNanos >= WINDOW_NANOS) {
            recentPerWindow += RECENT_SMOOTHING_FACTOR * (spentInWindow - recentPerWindow);
            meanPerWindow += MEAN_SMOOTHING_FACTOR * (spentInWindow - meanPerWindow);
            spentInWindow = 0;
            windowStartNanos += WINDOW_NANOS;
            boolean isIdle = meanPerWindow < NEGLIGIBLE_DEMAND;
            if (isIdle && nowNanos - windowStartNanos > WINDOW_NANOS) {
                windowStartNanos = nowNanos;
            }
        }
    }
}
