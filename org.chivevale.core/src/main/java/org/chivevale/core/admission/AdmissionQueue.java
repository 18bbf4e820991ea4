package org.chivevale.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Orders the requests that wait for an endpoint, and rejects those that cannot be served in time.
 *
 * <p>The load that it answers: bursts of the least urgent kind of request, or of a few client
 * accounts, in which the demand exceeds what the endpoint's slots can do. First come, first served
 * then makes every request late.
 *
 * <p>Order: requests within their account's fair share before those beyond it ({@link FairShares},
 * which limits accounts in overload only); the most urgent class first; in it the account with the
 * fewest connections in use, and of these the one that was served least recently; of an account the
 * request with the earliest deadline. Within a class an account with an idle connection goes first,
 * unless it has its fair share in use already, until the first request has waited for {@link
 * #IDLE_PREFERENCE_NANOS} or a part of its time. A request that has waited for half of its time is
 * aged; every {@link #AGED_TURN}th turn serves an aged request of a lower class.
 *
 * <p>Invariants: no request is rejected for its expected wait while a slot is free; at most {@code
 * maxWaiting} requests wait; a full queue gives up a request beyond its account's share for one
 * within it, otherwise only for a more urgent one, or for one of the same class whose account has
 * fewer waiting. Not thread safe.
 *
 * @param <T> type of the queued items
 */
public final class AdmissionQueue<T> {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long IDLE_PREFERENCE_NANOS = 250 * NANOS_PER_MILLI;

    /** The preference for idle connections ends after this part of a request's time. */
    private static final int IDLE_PREFERENCE_DIVISOR = 4;

    /** Leaves three quarters of the turns to the most urgent class while others are aged. */
    private static final int AGED_TURN = 4;

    private static final int AGED_DIVISOR = 2;
    private static final double TURN_WEIGHT = 0.05;

    /** Stands for the class of all requests beyond their account's share. */
    private static final int BEYOND_SHARE = Integer.MAX_VALUE;

    private final int maxWaiting;
    private final TreeMap<Integer, UrgencyClass<T>> classes = new TreeMap<>();
    private final FairShares shares = new FairShares();
    private final TreeMap<Integer, Double> turnShares = new TreeMap<>();
    private final WaitEstimate estimate = new WaitEstimate();
    private final RetrySpread retrySpread = new RetrySpread();
    private long lastSequence;
    private int turnsSinceAged;
    private Ticket<T> agedChoice;
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param maxWaiting how many requests may wait
     */
    public AdmissionQueue(int maxWaiting) {
        this.maxWaiting = maxWaiting;
    }

    /**
     * Records that a request has arrived, also one that will not wait.
     *
     * @param request the request
     * @param nowNanos the monotonic time
     * @param capacity how many requests run at once
     */
    public void recordArrival(AdmissionRequest request, long nowNanos, int capacity) {
        shares.update(nowNanos, capacity, estimate.slotNanos());
        shares.onArrived(request, nowNanos);
    }

    /**
     * Decides whether a request may wait.
     *
     * @param request the request that arrives
     * @param nowNanos the monotonic time
     * @param use what accounts use in the pool
     * @return null when it may wait, else why not
     */
    public Rejection check(AdmissionRequest request, long nowNanos, PoolUse use) {
        long remaining = request.remainingNanos(nowNanos);
        long wait = 0;
        if (!use.hasFreeSlot()) {
            double factor = shares.waitFactor(request.account());
            wait = (long) (factor * expectedWaitNanos(request, nowNanos, use.capacity()));
        }
        if (!use.hasFreeSlot() && wait > remaining) {
            return rejection(Rejection.Reason.WAIT_TOO_LONG, wait, remaining);
        }
        if (isFull() && victimFor(request, nowNanos) == null) {
            return rejection(Rejection.Reason.QUEUE_FULL, wait, remaining);
        }
        return null;
    }

    private Rejection rejection(Rejection.Reason reason, long wait, long remaining) {
        return new Rejection(
                reason, wait, retrySpread.nextNanos(wait - remaining, estimate.slotNanos()));
    }

    /** Returns after what time a request would be served if it were queued now. */
    private long expectedWaitNanos(AdmissionRequest request, long nowNanos, int capacity) {
        boolean isBeyond = shares.isBeyond(request, nowNanos);
        ToDoubleFunction<AdmissionRequest> withinShare =
                other -> Math.max(0, shares.allowance(other, nowNanos));
        ToDoubleFunction<AdmissionRequest> counted =
                isBeyond ? other -> Double.MAX_VALUE : withinShare;
        double ahead = 0;
        double lower = 0;
        for (Map.Entry<Integer, UrgencyClass<T>> entry : classes.entrySet()) {
            int order = Integer.compare(entry.getKey(), request.priority());
            if (order < 0) {
                ahead += entry.getValue().count(counted);
            } else if (order == 0) {
                ahead += entry.getValue().countAhead(request, counted);
            } else {
                lower += entry.getValue().count(withinShare);
            }
        }
        ahead += isBeyond ? lower : Math.min(lower, ahead / (AGED_TURN - 1));
        int key = isBeyond ? BEYOND_SHARE : request.priority();
        return (long) (estimate.waitNanos(ahead, capacity) / ownTurnShare(key));
    }

    /** Returns the share of recent turns that more urgent classes have left. */
    private double ownTurnShare(int priority) {
        SortedMap<Integer, Double> moreUrgent = turnShares.headMap(priority);
        double taken = moreUrgent.values().stream().mapToDouble(Double::doubleValue).sum();
        return Math.max(1 - taken, 1.0 / AGED_TURN);
    }

    /**
     * Queues a request that {@link #check} lets wait.
     *
     * @param item the item to queue
     * @param request the request
     * @param nowNanos the monotonic time
     * @param use what accounts use in the pool
     * @return its place
     */
    public Ticket<T> add(T item, AdmissionRequest request, long nowNanos, PoolUse use) {
        long expected = expectedWaitNanos(request, nowNanos, use.capacity());
        Ticket<T> ticket = new Ticket<>(item, request, nowNanos, ++lastSequence, expected);
        classes.computeIfAbsent(request.priority(), key -> new UrgencyClass<>()).add(ticket);
        size++;
        return ticket;
    }

    /**
     * Removes a request that no longer waits.
     *
     * @param ticket its place
     * @return false when it was not queued
     */
    public boolean remove(Ticket<T> ticket) {
        int priority = ticket.request().priority();
        UrgencyClass<T> urgencyClass = classes.get(priority);
        if (urgencyClass == null || !urgencyClass.remove(ticket)) {
            return false;
        }
        size--;
        if (urgencyClass.size() == 0) {
            classes.remove(priority);
        }
        if (size == 0) {
            estimate.onEmpty();
        }
        return true;
    }

    /**
     * Removes the request that gives its place in a full queue to another one.
     *
     * @param request the request that arrives
     * @param nowNanos the monotonic time
     * @return the removed request; null when none has to go or none is to yield
     */
    public Ticket<T> displaceFor(AdmissionRequest request, long nowNanos) {
        Ticket<T> victim = isFull() ? victimFor(request, nowNanos) : null;
        if (victim != null) {
            remove(victim);
        }
        return victim;
    }

    private Ticket<T> victimFor(AdmissionRequest request, long nowNanos) {
        boolean isBeyond = shares.isBeyond(request, nowNanos);
        Ticket<T> victim = leastUrgent(other -> shares.isBeyond(other, nowNanos));
        if (victim != null && !isBeyond) {
            return victim;
        }
        if (victim == null && !isBeyond) {
            victim = leastUrgent(other -> true);
        }
        return victim != null && yields(victim.request(), request) ? victim : null;
    }

    private Ticket<T> leastUrgent(Predicate<AdmissionRequest> filter) {
        for (UrgencyClass<T> urgencyClass : classes.descendingMap().values()) {
            Ticket<T> last = urgencyClass.lastOfLargestAccount(filter);
            if (last != null) {
                return last;
            }
        }
        return null;
    }

    private boolean yields(AdmissionRequest waiting, AdmissionRequest arriving) {
        if (waiting.priority() != arriving.priority()) {
            return waiting.priority() > arriving.priority();
        }
        UrgencyClass<T> both = classes.get(waiting.priority());
        return both.waiting(arriving.account()) + 1 < both.waiting(waiting.account());
    }

    /**
     * Returns the request to serve next, which stays queued until {@link #take}.
     *
     * @param nowNanos the monotonic time
     * @param use what accounts use in the pool
     * @return its place; null when none waits
     */
    public Ticket<T> next(long nowNanos, PoolUse use) {
        agedChoice = null;
        if (classes.isEmpty()) {
            return null;
        }
        shares.update(nowNanos, use.capacity(), estimate.slotNanos());
        List<Ticket<T>> heads = headsOfFirstClass(nowNanos, false);
        if (heads.isEmpty()) {
            heads = headsOfFirstClass(nowNanos, true);
        } else if (turnsSinceAged >= AGED_TURN - 1) {
            Ticket<T> aged = first(agedHeads(heads.get(0).request().priority(), nowNanos), use);
            if (aged != null) {
                agedChoice = aged;
                return aged;
            }
        }
        Ticket<T> first = first(heads, use);
        long preference =
                Math.min(IDLE_PREFERENCE_NANOS, first.allowedNanos() / IDLE_PREFERENCE_DIVISOR);
        if (first.waitedNanos(nowNanos) >= preference) {
            return first;
        }
        boolean isAlone = heads.size() == 1;
        int fairUse = isAlone ? Integer.MAX_VALUE : Math.max(1, use.capacity() / heads.size());
        heads.removeIf(
                head ->
                        !use.hasIdle(head.request().account())
                                || use.inUse(head.request().account()) >= fairUse);
        Ticket<T> withIdle = first(heads, use);
        return withIdle == null ? first : withIdle;
    }

    /** Returns the heads of the most urgent class that has some, within or beyond their share. */
    private List<Ticket<T>> headsOfFirstClass(long nowNanos, boolean beyondShare) {
        for (UrgencyClass<T> urgencyClass : classes.values()) {
            List<Ticket<T>> heads = urgencyClass.heads();
            heads.removeIf(head -> shares.isBeyond(head.request(), nowNanos) != beyondShare);
            if (!heads.isEmpty()) {
                return heads;
            }
        }
        return List.of();
    }

    private List<Ticket<T>> agedHeads(int mostUrgent, long nowNanos) {
        List<Ticket<T>> aged = new ArrayList<>();
        classes.tailMap(mostUrgent, false)
                .values()
                .forEach(urgencyClass -> aged.addAll(urgencyClass.heads()));
        aged.removeIf(
                head ->
                        head.waitedNanos(nowNanos) < head.allowedNanos() / AGED_DIVISOR
                                || shares.isBeyond(head.request(), nowNanos));
        return aged;
    }

    private Ticket<T> first(List<Ticket<T>> tickets, PoolUse use) {
        Comparator<Ticket<T>> order =
                Comparator.<Ticket<T>>comparingInt(ticket -> use.inUse(ticket.request().account()))
                        .thenComparingLong(ticket -> shares.lastTurn(ticket.request().account()))
                        .thenComparingLong(Ticket::deadlineNanos)
                        .thenComparingLong(Ticket::sequence);
        return tickets.stream().min(order).orElse(null);
    }

    /**
     * Removes a request that is being served.
     *
     * @param ticket a result of {@link #next}
     * @param nowNanos the monotonic time
     * @param capacity how many requests run at once
     */
    public void take(Ticket<T> ticket, long nowNanos, int capacity) {
        int priority = ticket.request().priority();
        turnsSinceAged = ticket == agedChoice ? 0 : turnsSinceAged + 1;
        turnShares.replaceAll((key, share) -> share * (1 - TURN_WEIGHT));
        int key = shares.isBeyond(ticket.request(), nowNanos) ? BEYOND_SHARE : priority;
        turnShares.merge(key, TURN_WEIGHT, Double::sum);
        estimate.onServed(nowNanos, capacity);
        shares.onWaited(ticket, nowNanos);
        recordServed(ticket.request(), nowNanos);
        remove(ticket);
    }

    /**
     * Records that a request was served, also one that did not wait.
     *
     * @param request the request
     * @param nowNanos the monotonic time
     */
    public void recordServed(AdmissionRequest request, long nowNanos) {
        shares.onServed(request, nowNanos);
    }

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param nowNanos the monotonic time
     * @return the removed requests, for the caller to reject
     */
    public List<Ticket<T>> expire(long nowNanos) {
        List<Ticket<T>> expired = new ArrayList<>();
        classes.values().forEach(urgencyClass -> expired.addAll(urgencyClass.expired(nowNanos)));
        for (Ticket<T> ticket : expired) {
            shares.onWaited(ticket, nowNanos);
            remove(ticket);
        }
        return expired;
    }

    /**
     * Removes all requests.
     *
     * @return the removed requests, for the caller to reject
     */
    public List<Ticket<T>> clear() {
        List<Ticket<T>> all = new ArrayList<>();
        classes.values().forEach(urgencyClass -> all.addAll(urgencyClass.all()));
        all.forEach(this::remove);
        return all;
    }

    /**
     * Returns whether a further request may wait only in place of another.
     *
     * @return true at the maximum number of waiting requests
     */
    public boolean isFull() {
        return size >= maxWaiting;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return requests of all classes
     */
    public int size() {
        return size;
    }

    /**
     * Returns the number of waiting requests by urgency class.
     *
     * @return the classes with waiting requests, the most urgent one first
     */
    public SortedMap<Integer, Integer> sizes() {
        SortedMap<Integer, Integer> sizes = new TreeMap<>();
        classes.forEach((priority, urgencyClass) -> sizes.put(priority, urgencyClass.size()));
        return sizes;
    }
}
