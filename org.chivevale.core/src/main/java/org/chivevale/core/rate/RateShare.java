package org.chivevale.core.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The tokens of one client account that one proxy may spend.
 *
 * <p>Answers two loads: where tokens are ample, one is held ahead so that a request need not wait
 * for the owner; where many proxies share a small burst, tokens are asked for one by one, since
 * those held ahead would be missed by the others. Invariant: a token is spent at most once and
 * never after its grant's end. Not thread safe.
 */
public final class RateShare {
    /** Tokens of the burst for each proxy from which on every proxy may hold one ahead. */
    private static final double AMPLE_TOKENS_EACH = 4;

    /** Demand below which tokens are asked for one by one where held ones are missed elsewhere. */
    private static final double SMALLEST_DEMAND_AHEAD = 1;

    private static final double DEMAND_WEIGHT = 0.3;

    private final Deque<Held> held = new ArrayDeque<>();
    private final List<Closed> closed = new ArrayList<>();
    private final long lookaheadNanos;
    private long windowStartNanos;
    private int takenInWindow;
    private double demandPerWindow;
    private double smallestDemandAhead = SMALLEST_DEMAND_AHEAD;

    private static final class Held {
        final long id;
        final long endNanos;
        int tokens;

        Held(long id, int tokens, long endNanos) {
            this.id = id;
            this.tokens = tokens;
            this.endNanos = endNanos;
        }
    }

    /**
     * A grant of which nothing will be spent any more.
     *
     * @param grantId the grant
     * @param unused how many of its tokens were not spent
     */
    public record Closed(long grantId, int unused) {}

    /**
     * Creates a share without tokens.
     *
     * @param lookaheadNanos for how long ahead tokens are asked for
     * @param nowNanos the monotonic time
     */
    public RateShare(long lookaheadNanos, long nowNanos) {
        this.lookaheadNanos = lookaheadNanos;
        this.windowStartNanos = nowNanos;
    }

    /**
     * Says how scarce tokens are.
     *
     * @param burst the account's burst over all proxies
     * @param proxies how many proxies share it
     */
    public void sharedBy(double burst, int proxies) {
        boolean ample = burst >= AMPLE_TOKENS_EACH * proxies;
        smallestDemandAhead = ample ? 0 : SMALLEST_DEMAND_AHEAD;
    }

    /**
     * Spends a token.
     *
     * @param nowNanos the monotonic time
     * @return false when there is none, so that the owner must be asked
     */
    public boolean tryTake(long nowNanos) {
        roll(nowNanos);
        expire(nowNanos);
        Held first = held.peekFirst();
        if (first == null) {
            return false;
        }
        takenInWindow++;
        first.tokens--;
        if (first.tokens == 0) {
            closed.add(new Closed(first.id, 0));
            held.removeFirst();
        }
        return true;
    }

    /**
     * Takes a grant.
     *
     * @param id the grant
     * @param tokens how many
     * @param endNanos the monotonic time after which they may not be spent
     */
    public void granted(long id, int tokens, long endNanos) {
        held.addLast(new Held(id, tokens, endNanos));
    }

    /**
     * Says how many tokens to ask for.
     *
     * @param waiting requests that wait for a token
     * @param nowNanos the monotonic time
     * @return enough for those that wait and for the demand expected in the look-ahead
     */
    public int wanted(int waiting, long nowNanos) {
        roll(nowNanos);
        int ahead = demandPerWindow < smallestDemandAhead ? 0 : (int) Math.ceil(demandPerWindow);
        return waiting + Math.max(0, ahead - tokens());
    }

    /**
     * Returns the tokens held.
     *
     * @return the sum over all grants
     */
    public int tokens() {
        int sum = 0;
        for (Held grant : held) {
            sum += grant.tokens;
        }
        return sum;
    }

    /**
     * Tells whether to ask before the tokens run out.
     *
     * @param nowNanos the monotonic time
     * @return true when less than half of the expected demand is held, and it is worth asking for
     */
    public boolean low(long nowNanos) {
        roll(nowNanos);
        return demandPerWindow >= smallestDemandAhead && tokens() * 2 < demandPerWindow;
    }

    /**
     * Tells whether there are closed grants to hand over.
     *
     * @param nowNanos the monotonic time
     * @return true when {@link #drainClosed} would return some
     */
    public boolean hasClosed(long nowNanos) {
        expire(nowNanos);
        return !closed.isEmpty();
    }

    /**
     * Hands over the grants that were closed since the last call.
     *
     * @param nowNanos the monotonic time
     * @return what to tell the owner
     */
    public List<Closed> drainClosed(long nowNanos) {
        expire(nowNanos);
        List<Closed> drained = new ArrayList<>(closed);
        closed.clear();
        return drained;
    }

    private void expire(long nowNanos) {
        while (!held.isEmpty() && nowNanos - held.peekFirst().endNanos >= 0) {
            Held ended = held.removeFirst();
            closed.add(new Closed(ended.id, ended.tokens));
        }
    }

    private void roll(long nowNanos) {
        while (nowNanos - windowStartNanos >= lookaheadNanos) {
            demandPerWindow += DEMAND_WEIGHT * (takenInWindow - demandPerWindow);
            takenInWindow = 0;
            windowStartNanos += lookaheadNanos;
            if (demandPerWindow < 0.01 && nowNanos - windowStartNanos > lookaheadNanos) {
                windowStartNanos = nowNanos;
            }
        }
    }
}
