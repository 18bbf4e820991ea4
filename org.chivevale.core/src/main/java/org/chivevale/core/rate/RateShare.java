package org.chivevale.core.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One proxy's tokens of one client account.
 *
 * <p>While tokens are ample, they are requested ahead of demand, so that a request need not wait
 * for the owner; where many proxies share a small burst, they are requested one by one, since
 * unused tokens of one proxy would be missing at the others. Invariant: a token is spent at most
 * once and never after its grant has expired. Not thread safe.
 */
public final class RateShare {
    /** Burst tokens per proxy at which each proxy may prefetch. */
    private static final double AMPLE_TOKENS_PER_PROXY = 4;

    /** Demand per window below which scarce tokens are requested one by one. */
    private static final double MIN_PREFETCH_DEMAND = 1;

    private static final double DEMAND_SMOOTHING_FACTOR = 0.3;

    private final Deque<HeldGrant> held = new ArrayDeque<>();
    private final List<Closed> closed = new ArrayList<>();
    private final long lookaheadNanos;
    private long windowStartNanos;
    private int spentInWindow;
    private double demandPerWindow;
    private double minPrefetchDemand = MIN_PREFETCH_DEMAND;

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
     * @param lookaheadNanos how far ahead demand is covered; also the window in which it is
     *     measured
     * @param nowNanos the monotonic time
     */
    public RateShare(long lookaheadNanos, long nowNanos) {
        this.lookaheadNanos = lookaheadNanos;
        this.windowStartNanos = nowNanos;
    }

    /**
     * Sets whether tokens are ample, and hence prefetchTarget at any demand.
     *
     * @param burst the account's burst over all proxies
     * @param proxies how many proxies share it
     */
    public void updateSharing(double burst, int proxies) {
        boolean ample = burst >= AMPLE_TOKENS_PER_PROXY * proxies;
        minPrefetchDemand = ample ? 0 : MIN_PREFETCH_DEMAND;
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
        spentInWindow++;
        first.tokens--;
        if (first.tokens == 0) {
            closed.add(new Closed(first.id, 0));
            held.removeFirst();
        }
        return true;
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
     * Returns how many tokens to request.
     *
     * @param waiting number of requests that wait for a token
     * @param nowNanos the monotonic time
     * @return enough for the waiting requests and for the demand expected in the look-ahead
     */
    public int tokensToRequest(int waiting, long nowNanos) {
        rollWindow(nowNanos);
        int prefetchTarget =
                demandPerWindow < minPrefetchDemand ? 0 : (int) Math.ceil(demandPerWindow);
        return waiting + Math.max(0, prefetchTarget - tokens());
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
     * @return true when less than half of the expected demand is held and demand justifies a
     *     prefetch
     */
    public boolean isLow(long nowNanos) {
        rollWindow(nowNanos);
        return demandPerWindow >= minPrefetchDemand && tokens() * 2 < demandPerWindow;
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
        while (nowNanos - windowStartNanos >= lookaheadNanos) {
            demandPerWindow += DEMAND_SMOOTHING_FACTOR * (spentInWindow - demandPerWindow);
            spentInWindow = 0;
            windowStartNanos += lookaheadNanos;
            if (demandPerWindow < 0.01 && nowNanos - windowStartNanos > lookaheadNanos) {
                windowStartNanos = nowNanos;
            }
        }
    }
}
