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

/**
 * The connection pool of this proxy for one endpoint, with its queue of waiters.
 *
 * <p>Invariants: no connection is opened above the leased share; a connection belongs to one client
 * account, so an idle one of another account is closed to make room; waiters are served in the
 * order of {@link AdmissionQueue}, and one whose deadline has passed gets no connection. Used on
 * the event loop.
 */
final class EndpointPool {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RECONNECT_DELAY_NANOS = 50 * NANOS_PER_MILLI;
    private static final int MAX_WAITERS = 400;

    private final MemberTarget target;
    private final SessionConnector connector;
    private final Runnable requestShare;
    private final DemandReport demandReport = new DemandReport();
    private final EndpointHealth health = new EndpointHealth(EventLoop.nowNanos());
    private final Set<PooledConnection> open = new HashSet<>();
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private final AdmissionQueue<Consumer<PooledConnection>> waiters =
            new AdmissionQueue<>(MAX_WAITERS);
    private final SlotLimit slots = new SlotLimit();
    private final AdmissionMetrics metrics;
    private long connectAfterNanos;
    private int share;
    private int peakDemand;
    private boolean isServing;
    private boolean isClosed;

    EndpointPool(
            MemberTarget target,
            SessionConnector connector,
            Runnable requestShare,
            AdmissionMetrics metrics) {
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

    /** Returns why a request must not wait here, or null when it may. */
    Rejection rejectionFor(AdmissionRequest request) {
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
    Ticket<Consumer<PooledConnection>> acquire(
            AdmissionRequest request, Consumer<PooledConnection> callback) {
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
        Ticket<Consumer<PooledConnection>> displaced = waiters.displaceFor(request, now);
        if (isClosed || waiters.isFull()) {
            callback.accept(null);
            return null;
        }
        Ticket<Consumer<PooledConnection>> ticket = waiters.add(callback, request, now, usage());
        recordDemand();
        if (displaced != null) {
            metrics.recordRejection(Rejection.Reason.DISPLACED);
            displaced.item().accept(null);
        }
        return ticket;
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

    void cancel(Ticket<Consumer<PooledConnection>> ticket) {
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

    /** Returns true when a new request would not have to wait for a connection. */
    boolean hasFreeConnection() {
        return !isClosed && waiters.size() == 0 && inUse() < share && hasSlot();
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
                return candidate;
            }
        }
        boolean mayConnect = !isClosed && EventLoop.nowNanos() - connectAfterNanos >= 0;
        if (!mayConnect) {
            return null;
        }
        if (open.size() >= share && !idle.isEmpty()) {
            closeConnection(idle.removeLast());
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
        if (!closedAtOnce[0]) {
            open.add(opened[0]);
        }
        return opened[0];
    }

    private void removeClosed(PooledConnection connection) {
        open.remove(connection);
        idle.remove(connection);
        serveWaiters();
    }

    private void closeConnection(PooledConnection connection) {
        open.remove(connection);
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
        if (reply.reply() == Reply.UNREACHABLE) {
            health.recordUnreachable(now);
            connectAfterNanos = now + RECONNECT_DELAY_NANOS;
        } else if (reply.reply() == Reply.LOST) {
            health.recordLost(now);
        } else {
            health.recordReply(reply, sentAtNanos, now);
            updateSlots(reply.reply(), now);
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
        if (!keep || !connection.isUsable() || open.size() > share || isClosed) {
            closeConnection(connection);
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
        Ticket<Consumer<PooledConnection>> next =
                hasSlot() ? waiters.next(nowNanos, usage()) : null;
        if (next == null) {
            return false;
        }
        PooledConnection connection = takeOrOpen(next.request().account());
        if (connection == null) {
            return false;
        }
        waiters.take(next, nowNanos, capacity());
        next.item().accept(connection);
        return true;
    }

    private void expireWaiters(long nowNanos) {
        for (Ticket<Consumer<PooledConnection>> expired : waiters.expire(nowNanos)) {
            metrics.recordRejection(Rejection.Reason.EXPIRED);
            expired.item().accept(null);
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
        old.forEach(this::closeConnection);
    }

    void tick() {
        expireWaiters(EventLoop.nowNanos());
        serveWaiters();
    }

    /** Sets the leased share and closes idle connections above it. */
    void setShare(int newShare) {
        share = newShare;
        while (open.size() > share && !idle.isEmpty()) {
            closeConnection(idle.removeLast());
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
        return demand;
    }

    /** Closes the pool; connections in use are closed when they are released. */
    void close() {
        isClosed = true;
        List<PooledConnection> unused = new ArrayList<>(idle);
        idle.clear();
        unused.forEach(this::closeConnection);
        waiters.clear().forEach(ticket -> ticket.item().accept(null));
    }

    TermPosition position() {
        return health.position();
    }
}
