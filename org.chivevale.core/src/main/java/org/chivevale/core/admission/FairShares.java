package org.chivevale.core.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.core.account.ClientAccountId;

/**
 * Tells which requests are beyond their account's max-min fair share of an endpoint.
 *
 * <p>The fair share is the largest number of requests per window such that accounts limited to it
 * demand no more than the endpoint can serve; while all demand fits there is no limit. An account
 * spends its share on its most urgent requests first: a request is beyond the share when as many of
 * its class and more urgent ones have been served. What an account usually sends is within its
 * share, so that a burst of one class takes nothing from the more urgent requests of large
 * accounts. Usual is the mean rate of the time in which all demand fitted. Not thread safe.
 */
final class FairShares {
    private static final long SECOND_NANOS = 1_000_000_000;

    /** Long enough for some requests of a large account, short against the span of a surge. */
    static final long WINDOW_NANOS = SECOND_NANOS;

    private static final long USUAL_WINDOW_NANOS = 60 * SECOND_NANOS;

    /** Multiple of the usual rate, and a number of requests, by which a steady rate varies. */
    private static final double USUAL_FACTOR = 1.5;

    private static final double USUAL_VARIATION = 2;

    /**
     * The part of the capacity that is divided up. With all of it, the requests within their shares
     * would load the slots fully, and the wait of the least urgent ones would grow without bound.
     */
    private static final double DIVIDED_PART = 0.75;

    private static final long UPDATE_INTERVAL_NANOS = 20_000_000;

    /** An account with a smaller decayed number of arrivals is forgotten. */
    private static final double LEAST_ARRIVALS = 1e-4;

    private static final double LEAST_USUAL = 0.05;

    private static final double WAIT_WEIGHT = 0.1;
    private static final double MAX_WAIT_FACTOR = 4;

    /** Keeps short waits, which vary much, from changing the factor. */
    private static final double LEAST_WAIT_NANOS = SECOND_NANOS / 20.0;

    private final Map<ClientAccountId, History> accounts = new HashMap<>();
    private double limit = Double.MAX_VALUE;
    private long updatedNanos;
    private boolean isStarted;
    private long turn;

    /** The time for which all demand has fitted, which is the clock of the usual rates. */
    private long fittingNanos;

    private static final class History {
        final DecayedCount arrivals = new DecayedCount(WINDOW_NANOS);
        final TreeMap<Integer, DecayedCount> served = new TreeMap<>();
        final TreeMap<Integer, DecayedCount> usual = new TreeMap<>();
        double waitedNanos = LEAST_WAIT_NANOS;
        double expectedNanos = LEAST_WAIT_NANOS;
        long lastTurn;
    }

    void onArrived(AdmissionRequest request, long nowNanos) {
        History history = accounts.computeIfAbsent(request.account(), key -> new History());
        history.arrivals.add(nowNanos);
        if (limit == Double.MAX_VALUE) {
            history.usual
                    .computeIfAbsent(
                            request.priority(), key -> new DecayedCount(USUAL_WINDOW_NANOS))
                    .add(fittingNanos);
        }
    }

    void onServed(AdmissionRequest request, long nowNanos) {
        History history = accounts.computeIfAbsent(request.account(), key -> new History());
        history.served
                .computeIfAbsent(request.priority(), key -> new DecayedCount(WINDOW_NANOS))
                .add(nowNanos);
        history.lastTurn = ++turn;
    }

    /** Compares the wait of a request, served or expired, with the expected one. */
    void onWaited(Ticket<?> ticket, long nowNanos) {
        History history = accounts.get(ticket.request().account());
        if (history != null) {
            history.waitedNanos +=
                    WAIT_WEIGHT * (ticket.waitedNanos(nowNanos) - history.waitedNanos);
            history.expectedNanos +=
                    WAIT_WEIGHT * (ticket.expectedWaitNanos() - history.expectedNanos);
        }
    }

    /**
     * Returns by how much the waits of an account's requests differ from the expected ones:
     * requests that arrive later and go first are not known when the wait is estimated.
     */
    double waitFactor(ClientAccountId account) {
        History history = accounts.get(account);
        if (history == null) {
            return 1;
        }
        double factor =
                (history.waitedNanos + LEAST_WAIT_NANOS)
                        / (history.expectedNanos + LEAST_WAIT_NANOS);
        return Math.min(MAX_WAIT_FACTOR, Math.max(1 / MAX_WAIT_FACTOR, factor));
    }

    /** Returns the turn in which the account was served last; 0 for one that was not. */
    long lastTurn(ClientAccountId account) {
        History history = accounts.get(account);
        return history == null ? 0 : history.lastTurn;
    }

    /**
     * Recalculates the fair share, unless that was done just before. Without capacity, as before
     * the first lease of connections, what fits is not known and the share stays.
     */
    void update(long nowNanos, int capacity, long slotNanos) {
        if (!isStarted) {
            isStarted = true;
            updatedNanos = nowNanos;
        }
        if (capacity <= 0 || nowNanos - updatedNanos < UPDATE_INTERVAL_NANOS) {
            return;
        }
        if (limit == Double.MAX_VALUE) {
            fittingNanos += nowNanos - updatedNanos;
        }
        updatedNanos = nowNanos;
        accounts.values().removeIf(history -> isForgotten(history, nowNanos));
        double servable = DIVIDED_PART * capacity * WINDOW_NANOS / slotNanos;
        limit = fairLimit(demands(nowNanos), servable);
    }

    private boolean isForgotten(History history, long nowNanos) {
        return history.arrivals.value(nowNanos) < LEAST_ARRIVALS
                && sum(history.usual, fittingNanos) < LEAST_USUAL;
    }

    private static double sum(Map<Integer, DecayedCount> counts, long nowNanos) {
        double sum = 0;
        for (DecayedCount count : counts.values()) {
            sum += count.value(nowNanos);
        }
        return sum;
    }

    private double[] demands(long nowNanos) {
        return accounts.values().stream()
                .mapToDouble(history -> history.arrivals.value(nowNanos))
                .sorted()
                .toArray();
    }

    /** Returns the limit for which the sorted demands, cut at it, add up to the total. */
    static double fairLimit(double[] demands, double total) {
        if (Arrays.stream(demands).sum() <= total) {
            return Double.MAX_VALUE;
        }
        double left = total;
        for (int i = 0; i < demands.length; i++) {
            double even = left / (demands.length - i);
            if (demands[i] > even) {
                return even;
            }
            left -= demands[i];
        }
        return Double.MAX_VALUE;
    }

    boolean isBeyond(AdmissionRequest request, long nowNanos) {
        return allowance(request, nowNanos) <= 0;
    }

    /** Returns how many requests like this one the account may have served within its share. */
    double allowance(AdmissionRequest request, long nowNanos) {
        History history = accounts.get(request.account());
        if (history == null || limit == Double.MAX_VALUE) {
            return Double.MAX_VALUE;
        }
        int priority = request.priority();
        double served = sum(history.served.headMap(priority, true), nowNanos);
        double usual =
                sum(history.usual.headMap(priority, true), fittingNanos) * usualWindowShare();
        return Math.max(limit, USUAL_FACTOR * usual + USUAL_VARIATION) - served;
    }

    /** Converts a usual count to one of a window; the usual window is filled only gradually. */
    private double usualWindowShare() {
        double filled = 1 - Math.exp(-(double) fittingNanos / USUAL_WINDOW_NANOS);
        return fittingNanos == 0 ? 0 : WINDOW_NANOS / (USUAL_WINDOW_NANOS * filled);
    }
}
