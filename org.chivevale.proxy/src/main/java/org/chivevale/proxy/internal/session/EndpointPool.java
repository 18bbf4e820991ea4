package org.chivevale.proxy.internal.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.admission.AdmissionQueue;
import org.chivevale.core.admission.AdmissionRequest;
import org.chivevale.core.admission.DemandReport;
import org.chivevale.core.admission.Rejection;
import org.chivevale.core.admission.SlotLimit;
import org.chivevale.core.admission.Ticket;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Reply;
import org.chivevale.database.MemberTarget;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.database.session.SessionConnector;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.internal.session.ConnectionMeters.Reason;

/**
 * The connection pool of this proxy for one endpoint, with its queue of waiters.
 *
 * <p>Invariants: no connection is opened above the leased share; a connection belongs to one client
 * account, so an idle one of another account is closed to make room; waiters are served in the
 * order of {@link AdmissionQueue}, and one whose deadline has passed gets no connection. While
 * other proxies hold the endpoint's connections, requests get a relayed connection and none waits
 * here. Used on the event loop.
 */
final class EndpointPool {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RECONNECT_DELAY_NANOS = 50 * NANOS_PER_MILLI;
    private static final int MAX_WAITERS = 400;

    /**
     * Connections assumed behind the hosts of an endpoint, whose queue this proxy does not see; the
     * measured response times include the wait there.
     */
    private static final int NOMINAL_RELAYED_CONNECTIONS = 16;

    private final MemberTarget target;
    private final SessionConnector connector;
    private final Runnable requestShare;
    private final ConnectionMeters meters;
    private DemandReport demandReport = new DemandReport();
    private final EndpointHealth health = new EndpointHealth(EventLoop.nowNanos());
    private final Set<PooledConnection> open = new HashSet<>();
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private final AdmissionQueue<Waiter> waiters = new AdmissionQueue<>(MAX_WAITERS);
    private final SlotLimit slots = new SlotLimit();
    private final AdmissionMetrics metrics;
    private long connectAfterNanos;
    private int share;
    private int peakDemand;
    private boolean isServing;
    private boolean isClosed;
    private boolean isBlocked;
    private Function<PoolRequest, RelayedConnection> relay;
    private int relayedInUse;

    /**
     * A queued request for a connection.
     *
     * @param request the request
     * @param callback receives the connection, or null when there will be none
     */
    record Waiter(PoolRequest request, Consumer<PooledConnection> callback) {}

    EndpointPool(
            MemberTarget target,
            SessionConnector connector,
            Runnable requestShare,
            ConnectionMeters meters,
            AdmissionMetrics metrics) {
        this.meters = meters;
        this.target = target;
        this.connector = connector;
        this.requestShare = requestShare;
        this.metrics = metrics;
        this.connectAfterNanos = EventLoop.nowNanos();
    }

    MemberTarget target() {
        return target;
    }

    DemandReport demandReport() {
        return demandReport;
    }

    EndpointHealth health() {
        return health;
    }

    /**
     * Returns why a request must not wait here, or null when it may; a connection host decides for
     * itself.
     */
    Rejection rejectionFor(AdmissionRequest request) {
        if (relay != null) {
            return null;
        }
        long now = EventLoop.nowNanos();
        expireWaiters(now);
        return waiters.check(request, now, usage());
    }

    /** Records that a request was rejected and did not go elsewhere. */
    void recordRejection(AdmissionRequest request, Rejection rejection) {
        waiters.recordArrival(request, EventLoop.nowNanos(), capacity());
        metrics.recordRejection(rejection.reason());
    }

    /**
     * Requests a connection; the returned ticket can be cancelled until it is served. The callback
     * receives the connection, or null when there will be none; the ticket is null if it has done
     * so already.
     */
    Ticket<Waiter> acquire(PoolRequest pooled, Consumer<PooledConnection> callback) {
        if (relay != null) {
            boolean isRejected = isClosed || isBlocked || relayedInUse >= MAX_WAITERS;
            callback.accept(isRejected ? null : openRelayed(pooled));
            return null;
        }
        AdmissionRequest request = pooled.admission();
        long now = EventLoop.nowNanos();
        waiters.recordArrival(request, now, capacity());
        if (waiters.size() == 0 && hasSlot()) {
            PooledConnection connection = takeOrOpen(request.account());
            if (connection != null) {
                recordDemand();
                waiters.recordServed(request, now);
                callback.accept(connection);
                return null;
            }
        }
        Ticket<Waiter> displaced = waiters.displaceFor(request, now);
        if (isClosed || isBlocked || waiters.isFull()) {
            callback.accept(null);
            return null;
        }
        Ticket<Waiter> ticket = waiters.add(new Waiter(pooled, callback), request, now, usage());
        recordDemand();
        if (displaced != null) {
            metrics.recordRejection(Rejection.Reason.DISPLACED);
            displaced.item().callback().accept(null);
        }
        return ticket;
    }

    private PooledConnection openRelayed(PoolRequest request) {
        relayedInUse++;
        return PooledConnection.relayed(relay.apply(request), request.account(), this);
    }

    /**
     * Sets whether other proxies hold the endpoint's connections; requests that wait move on.
     *
     * @param newRelay opens a relayed connection for a request; null for own connections
     */
    void relayThrough(Function<PoolRequest, RelayedConnection> newRelay) {
        relay = newRelay;
        if (relay == null) {
            return;
        }
        peakDemand = 0;
        for (Ticket<Waiter> waiting : waiters.clear()) {
            Waiter waiter = waiting.item();
            waiter.callback().accept(openRelayed(waiter.request()));
        }
    }

    boolean isRelayed() {
        return relay != null;
    }

    /** Forgets what was reported, so that the next renewal reports this pool again. */
    void resetDemandReport() {
        demandReport = new DemandReport();
    }

    private PoolUsage usage() {
        return new PoolUsage(open, idle, share, slots.limit(), hasSlot());
    }

    /** Returns how many statements can run at once, by connections and by slots. */
    int capacity() {
        return Math.min(share, slots.limit());
    }

    private boolean hasSlot() {
        return health.inFlight() < slots.limit();
    }

    void cancel(Ticket<Waiter> ticket) {
        waiters.remove(ticket);
    }

    SortedMap<Integer, Integer> waitingByPriority() {
        return waiters.sizes();
    }

    private void recordDemand() {
        int demand = demand();
        if (demand > share && demand > peakDemand) {
            requestShare.run();
        }
        peakDemand = Math.max(peakDemand, demand);
    }

    /** Returns the connections wanted; more would not help requests that wait for a slot. */
    private int demand() {
        return hasSlot() ? load() : inUse();
    }

    int inUse() {
        return open.size() - idle.size();
    }

    int load() {
        return inUse() + waiters.size();
    }

    /** Returns how many requests of this proxy are at the endpoint or wait for it. */
    int pendingRequests() {
        return load() + relayedInUse;
    }

    /** Returns how many requests can run at a time; for a relayed endpoint, an estimate. */
    int usableConnections() {
        return relay == null ? capacity() : NOMINAL_RELAYED_CONNECTIONS;
    }

    /** Returns true when a new request would not have to wait for a connection. */
    boolean hasFreeConnection() {
        boolean isFree = waiters.size() == 0 && inUse() < share && hasSlot();
        return !isClosed && (relay != null || isFree);
    }

    /**
     * Takes an idle connection of the account or opens one, closing another account's idle one if
     * the share is used up; returns null when neither is possible now.
     */
    private PooledConnection takeOrOpen(ClientAccountId account) {
        removeUnusable();
        Iterator<PooledConnection> candidates = idle.iterator();
        while (candidates.hasNext()) {
            PooledConnection candidate = candidates.next();
            if (candidate.account().equals(account)) {
                candidates.remove();
                meters.recordReused();
                return candidate;
            }
        }
        boolean mayConnect =
                !isClosed && !isBlocked && EventLoop.nowNanos() - connectAfterNanos >= 0;
        if (!mayConnect) {
            return null;
        }
        if (open.size() >= share && !idle.isEmpty()) {
            closeConnection(idle.removeLast(), Reason.OTHER_ACCOUNT);
        }
        return open.size() < share ? connect(account) : null;
    }

    private PooledConnection connect(ClientAccountId account) {
        PooledConnection[] opened = new PooledConnection[1];
        boolean[] closedAtOnce = new boolean[1];
        opened[0] =
                new PooledConnection(
                        connector.open(
                                target,
                                account,
                                () -> {
                                    closedAtOnce[0] = true;
                                    if (opened[0] != null) {
                                        removeClosed(opened[0]);
                                    }
                                }),
                        account,
                        this);
        meters.recordOpened();
        if (!closedAtOnce[0]) {
            open.add(opened[0]);
        }
        return opened[0];
    }

    private void removeClosed(PooledConnection connection) {
        if (open.remove(connection)) {
            meters.recordClosed(Reason.BY_ENDPOINT);
        }
        idle.remove(connection);
        serveWaiters();
    }

    private void closeConnection(PooledConnection connection, Reason reason) {
        if (open.remove(connection)) {
            meters.recordClosed(reason);
        }
        connection.connection().close();
    }

    private void removeUnusable() {
        idle.removeIf(
                connection -> {
                    if (connection.isUsable()) {
                        return false;
                    }
                    open.remove(connection);
                    return true;
                });
    }

    /** Records the reply to a statement or the failure of a connection attempt. */
    void recordReply(EndpointReply reply, long sentAtNanos) {
        long now = EventLoop.nowNanos();
        health.recordReply(reply, sentAtNanos, now);
        switch (reply.reply()) {
            case UNREACHABLE, OTHER_ENDPOINT -> connectAfterNanos = now + RECONNECT_DELAY_NANOS;
            default -> updateSlots(reply.reply(), now);
        }
    }

    private void updateSlots(Reply reply, long nowNanos) {
        if (reply == Reply.BUSY) {
            slots.onBusy(health.inFlight(), nowNanos);
        } else if (reply == Reply.SUCCESS) {
            slots.onRun(health.inFlight(), nowNanos);
            serveWaiters();
        }
    }

    /** Returns a connection to the pool; {@code keep} is false when it must be closed. */
    void release(PooledConnection connection, boolean keep) {
        if (connection.isRelayed()) {
            relayedInUse--;
            connection.connection().close();
            return;
        }
        if (!keep || !connection.isUsable()) {
            closeConnection(connection, Reason.FAILED);
        } else if (open.size() > share || isClosed || isBlocked) {
            boolean exceedsShare = open.size() > share;
            closeConnection(connection, exceedsShare ? Reason.SHARE : Reason.POOL_CLOSED);
        } else {
            connection.setIdleSince(EventLoop.nowNanos());
            idle.addFirst(connection);
        }
        serveWaiters();
    }

    /** Serves waiters; a call from a callback of this one leaves them to the loop in progress. */
    private void serveWaiters() {
        if (isServing || waiters.size() == 0) {
            return;
        }
        isServing = true;
        try {
            boolean served = true;
            while (served && waiters.size() > 0) {
                served = serveNext(EventLoop.nowNanos());
            }
        } finally {
            isServing = false;
        }
    }

    private boolean serveNext(long nowNanos) {
        expireWaiters(nowNanos);
        Ticket<Waiter> next = hasSlot() ? waiters.next(nowNanos, usage()) : null;
        if (next == null) {
            return false;
        }
        PooledConnection connection = takeOrOpen(next.request().account());
        if (connection == null) {
            return false;
        }
        waiters.take(next, nowNanos, capacity());
        next.item().callback().accept(connection);
        return true;
    }

    private void expireWaiters(long nowNanos) {
        for (Ticket<Waiter> expired : waiters.expire(nowNanos)) {
            metrics.recordRejection(Rejection.Reason.EXPIRED);
            expired.item().callback().accept(null);
        }
    }

    /**
     * Closes the connections that became idle before a statement was sent that got no reply; they
     * may be broken as well.
     */
    void closeIdleSinceBefore(long sentAtNanos) {
        List<PooledConnection> old = new ArrayList<>();
        for (PooledConnection connection : idle) {
            if (connection.idleSince() - sentAtNanos < 0) {
                old.add(connection);
            }
        }
        idle.removeAll(old);
        old.forEach(connection -> closeConnection(connection, Reason.SUSPECT));
    }

    void tick() {
        long now = EventLoop.nowNanos();
        for (PooledConnection connection : List.copyOf(open)) {
            if (connection.isRollbackOverdue(now)) {
                connection.connection().close();
            }
        }
        expireWaiters(now);
        serveWaiters();
    }

    /** Sets the leased share and closes idle connections above it. */
    void setShare(int newShare) {
        share = newShare;
        while (open.size() > share && !idle.isEmpty()) {
            closeConnection(idle.removeLast(), Reason.SHARE);
        }
        serveWaiters();
    }

    int share() {
        return share;
    }

    int limitInForce() {
        return Math.max(share, open.size());
    }

    int takePeakDemand() {
        int demand = peakDemand;
        peakDemand = demand();
        return relay == null ? demand : 0;
    }

    /**
     * Sets whether the endpoint gets no new work: closes idle connections, fails the waiters, and
     * opens no connection until work is allowed again.
     */
    void setBlocked(boolean blocked) {
        isBlocked = blocked;
        if (blocked) {
            closeIdleAndFailWaiters();
        }
    }

    boolean isBlocked() {
        return isBlocked;
    }

    /**
     * Returns false when requests get no connection here: the endpoint has left or is evacuated.
     */
    boolean takesWork() {
        return !isClosed && !isBlocked;
    }

    /** Closes the pool; connections in use are closed when they are released. */
    void close() {
        isClosed = true;
        closeIdleAndFailWaiters();
    }

    private void closeIdleAndFailWaiters() {
        List<PooledConnection> unused = new ArrayList<>(idle);
        idle.clear();
        unused.forEach(connection -> closeConnection(connection, Reason.POOL_CLOSED));
        waiters.clear().forEach(ticket -> ticket.item().callback().accept(null));
    }

    TermPosition position() {
        return health.position();
    }
}
