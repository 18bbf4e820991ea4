package org.chivevale.core.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * One proxy's tokens for requests to cold endpoints.
 *
 * <p>Tokens are requested only for statements that are there, never ahead. Invariant: a token is
 * spent at most once and never after its grant has expired. Not thread safe.
 */
public final class WarmupTokens {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_PAUSE_NANOS = 25 * NANOS_PER_MILLI;

    /**
     * Longest pause between two requests without a grant. With 100 proxies that all wait, the owner
     * answers 500 requests per second.
     */
    private static final long MAX_PAUSE_NANOS = 200 * NANOS_PER_MILLI;

    /** Tokens expire soon, so a proxy that takes more at once leaves some unused. */
    private static final int MAX_WANTED = 8;

    private final Map<WarmupTarget, State> states = new HashMap<>();

    private static final class State {
        final Deque<Held> held = new ArrayDeque<>();
        final Set<Object> requesters = new HashSet<>();
        long nextRequestNanos;
        long pauseNanos = MIN_PAUSE_NANOS;

        State(long nowNanos) {
            nextRequestNanos = nowNanos;
        }

        void expire(long nowNanos) {
            held.removeIf(grant -> grant.tokens == 0 || nowNanos - grant.endNanos >= 0);
        }
    }

    private static final class Held {
        final long endNanos;
        int tokens;

        Held(int tokens, long endNanos) {
            this.tokens = tokens;
            this.endNanos = endNanos;
        }
    }

    /**
     * Tokens to request from the owner.
     *
     * @param target the cold endpoint
     * @param tokens number of tokens
     */
    public record Want(WarmupTarget target, int tokens) {}

    /**
     * Tells whether a token is held.
     *
     * @param target the cold endpoint
     * @param nowNanos the monotonic time
     * @return true when {@link #trySpend} would succeed now
     */
    public boolean isAvailable(WarmupTarget target, long nowNanos) {
        State state = states.get(target);
        if (state == null) {
            return false;
        }
        state.expire(nowNanos);
        return !state.held.isEmpty();
    }

    /**
     * Spends a token; to be called directly before the request is sent.
     *
     * @param target the cold endpoint
     * @param nowNanos the monotonic time, on a clock that counts suspended time
     * @return false when the request may not be sent
     */
    public boolean trySpend(WarmupTarget target, long nowNanos) {
        if (!isAvailable(target, nowNanos)) {
            return false;
        }
        states.get(target).held.peekFirst().tokens--;
        return true;
    }

    /**
     * Notes that a request needs a token.
     *
     * @param target the cold endpoint
     * @param requester the request; noted once until tokens are requested
     * @param nowNanos the monotonic time
     */
    public void want(WarmupTarget target, Object requester, long nowNanos) {
        State state = states.computeIfAbsent(target, key -> new State(nowNanos));
        if (state.requesters.size() < MAX_WANTED) {
            state.requesters.add(requester);
        }
    }

    /**
     * Tells whether tokens are to be requested now.
     *
     * @param nowNanos the monotonic time
     * @return true when {@link #takeWants} would return some
     */
    public boolean hasDueWants(long nowNanos) {
        return states.values().stream().anyMatch(state -> isDue(state, nowNanos));
    }

    private static boolean isDue(State state, long nowNanos) {
        return !state.requesters.isEmpty() && nowNanos - state.nextRequestNanos >= 0;
    }

    /**
     * Tells whether tokens are to be requested now or later.
     *
     * @return true while requests are noted for which none were requested yet
     */
    public boolean hasWants() {
        return states.values().stream().anyMatch(state -> !state.requesters.isEmpty());
    }

    /**
     * Removes and returns the tokens to request now.
     *
     * @param nowNanos the monotonic time
     * @return one entry for each endpoint
     */
    public List<Want> takeWants(long nowNanos) {
        List<Want> wants = new ArrayList<>();
        states.forEach(
                (target, state) -> {
                    if (isDue(state, nowNanos)) {
                        wants.add(new Want(target, state.requesters.size()));
                        state.requesters.clear();
                        state.nextRequestNanos = nowNanos + state.pauseNanos;
                        state.pauseNanos = Math.min(MAX_PAUSE_NANOS, 2 * state.pauseNanos);
                    }
                });
        return wants;
    }

    /**
     * Adds a grant of the owner.
     *
     * @param target the cold endpoint; ignored when nothing was requested for it
     * @param tokens number of tokens
     * @param endNanos the monotonic time from which they may not be spent
     * @param nowNanos the monotonic time
     */
    public void addGrant(WarmupTarget target, int tokens, long endNanos, long nowNanos) {
        State state = states.get(target);
        if (state != null && tokens > 0) {
            state.held.addLast(new Held(tokens, endNanos));
            state.nextRequestNanos = nowNanos;
            state.pauseNanos = MIN_PAUSE_NANOS;
        }
    }

    /**
     * Drops the state of endpoints that are no longer cold.
     *
     * @param cold tells whether an endpoint is cold
     */
    public void retain(Predicate<WarmupTarget> cold) {
        states.keySet().removeIf(target -> !cold.test(target));
    }
}
