package org.chivevale.proxy.internal.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.admission.DemandReport;
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
 * account, so an idle one of another account is closed to make room; waiters are served in order,
 * but for {@link #OWN_ACCOUNT_PRIORITY_NANOS} a waiter whose account has an idle connection goes
 * first, since opening a new connection costs the endpoint a slot. Used on the event loop.
 */
final class EndpointPool {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long OWN_ACCOUNT_PRIORITY_NANOS = 250 * NANOS_PER_MILLI;
    private static final int OWN_ACCOUNT_LOOKAHEAD = 64;
    private static final long RECONNECT_DELAY_NANOS = 50 * NANOS_PER_MILLI;
    private static final int MAX_WAITERS = 400;

    private final MemberTarget target;
    private final SessionConnector connector;
    private final Runnable requestShare;
    private final DemandReport demandReport = new DemandReport();
    private final EndpointHealth health = new EndpointHealth(EventLoop.nowNanos());
    private final Set<PooledConnection> open = new HashSet<>();
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long connectAfterNanos;
    private int share;
    private int peakDemand;
    private boolean isClosed;
    private boolean isBlocked;

    /**
     * A queued request for a connection.
     *
     * @param account the client account that the connection must belong to
     * @param queuedAtNanos when it was queued, on the monotonic clock
     * @param callback receives the connection, or null when there will be none
     */
    record Waiter(
            ClientAccountId account, long queuedAtNanos, Consumer<PooledConnection> callback) {}

    EndpointPool(MemberTarget target, SessionConnector connector, Runnable requestShare) {
        this.target = target;
        this.connector = connector;
        this.requestShare = requestShare;
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

    /** Requests a connection; the returned waiter can be cancelled until it is served. */
    Waiter acquire(ClientAccountId account, Consumer<PooledConnection> callback) {
        long now = EventLoop.nowNanos();
        Waiter waiter = new Waiter(account, now, callback);
        if (waiters.isEmpty()) {
            PooledConnection connection = takeOrOpen(account);
            if (connection != null) {
                recordDemand();
                callback.accept(connection);
                return waiter;
            }
        }
        if (isClosed || isBlocked || isFull()) {
            callback.accept(null);
            return waiter;
        }
        waiters.addLast(waiter);
        recordDemand();
        return waiter;
    }

    /** Returns true when no further request may wait. */
    boolean isFull() {
        return waiters.size() >= MAX_WAITERS;
    }

    void cancel(Waiter waiter) {
        waiters.remove(waiter);
    }

    private void recordDemand() {
        int demand = inUse() + waiters.size();
        if (demand > share && demand > peakDemand) {
            requestShare.run();
        }
        peakDemand = Math.max(peakDemand, demand);
    }

    int inUse() {
        return open.size() - idle.size();
    }

    int load() {
        return inUse() + waiters.size();
    }

    /** Returns true when a new request would not have to wait for a connection. */
    boolean hasFreeConnection() {
        return !isClosed && waiters.isEmpty() && inUse() < share;
    }

    /** Returns true when the queue is so long that a new waiter would exceed its maximum wait. */
    boolean isOverloaded(long maxWaitNanos) {
        double rounds = (double) waiters.size() / Math.max(1, share);
        return rounds * health.responseMillis() * NANOS_PER_MILLI > maxWaitNanos;
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
        boolean mayConnect =
                !isClosed && !isBlocked && EventLoop.nowNanos() - connectAfterNanos >= 0;
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
        }
    }

    /** Returns a connection to the pool; {@code keep} is false when it must be closed. */
    void release(PooledConnection connection, boolean keep) {
        if (!keep || !connection.isUsable() || open.size() > share || isClosed || isBlocked) {
            closeConnection(connection);
        } else {
            connection.setIdleSince(EventLoop.nowNanos());
            idle.addFirst(connection);
        }
        serveWaiters();
    }

    private void serveWaiters() {
        while (!waiters.isEmpty()) {
            Waiter next = nextWaiter();
            PooledConnection connection = takeOrOpen(next.account());
            if (connection == null) {
                return;
            }
            waiters.remove(next);
            next.callback().accept(connection);
        }
    }

    private Waiter nextWaiter() {
        Waiter first = waiters.peekFirst();
        boolean mayWait = EventLoop.nowNanos() - first.queuedAtNanos() < OWN_ACCOUNT_PRIORITY_NANOS;
        if (!mayWait || idle.isEmpty()) {
            return first;
        }
        int examined = 0;
        for (Waiter waiter : waiters) {
            for (PooledConnection connection : idle) {
                if (connection.account().equals(waiter.account())) {
                    return waiter;
                }
            }
            examined++;
            if (examined == OWN_ACCOUNT_LOOKAHEAD) {
                break;
            }
        }
        return first;
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
        peakDemand = load();
        return demand;
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

    /** Closes the pool; connections in use are closed when they are released. */
    void close() {
        isClosed = true;
        closeIdleAndFailWaiters();
    }

    private void closeIdleAndFailWaiters() {
        List<PooledConnection> unused = new ArrayList<>(idle);
        idle.clear();
        unused.forEach(this::closeConnection);
        List<Waiter> waiting = new ArrayList<>(waiters);
        waiters.clear();
        waiting.forEach(waiter -> waiter.callback().accept(null));
    }

    TermPosition position() {
        return health.position();
    }
}
