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
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Reply;
import org.chivevale.database.MemberTarget;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.database.session.SessionConnector;
import org.chivevale.process.EventLoop;

/**
 * The connections of this proxy to one endpoint, and who waits for one.
 *
 * <p>Invariants: no more connections are open than the leased share; a connection belongs to one
 * client account, so one that idles for another account is closed to make room; who waits is served
 * in order, but a waiter of the connection's own account goes first for a short while, since
 * opening anew costs the endpoint a slot. Used on the event loop.
 */
final class EndpointPool {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long OWN_ACCOUNT_FIRST_NANOS = 250 * NANOS_PER_MILLI;
    private static final int OWN_ACCOUNT_LOOKAHEAD = 64;
    private static final long CONNECT_AGAIN_NANOS = 50 * NANOS_PER_MILLI;
    private static final int QUEUE_LIMIT = 400;

    private final MemberTarget target;
    private final SessionConnector connector;
    private final Runnable shareWanted;
    private final EndpointHealth health = new EndpointHealth(EventLoop.nowNanos());
    private final Set<PooledConnection> open = new HashSet<>();
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long connectAfterNanos;
    private int share;
    private int peakDemand;
    private boolean closed;

    /**
     * Who waits for a connection.
     *
     * @param account on whose behalf
     * @param sinceNanos since when
     * @param ready gets the connection, or null when there will be none
     */
    record Waiter(ClientAccountId account, long sinceNanos, Consumer<PooledConnection> ready) {}

    EndpointPool(MemberTarget target, SessionConnector connector, Runnable shareWanted) {
        this.target = target;
        this.connector = connector;
        this.shareWanted = shareWanted;
        this.connectAfterNanos = EventLoop.nowNanos();
    }

    MemberTarget target() {
        return target;
    }

    EndpointHealth health() {
        return health;
    }

    /** Asks for a connection; the waiter can be withdrawn until it is ready. */
    Waiter acquire(ClientAccountId account, Consumer<PooledConnection> ready) {
        long now = EventLoop.nowNanos();
        Waiter waiter = new Waiter(account, now, ready);
        if (waiters.isEmpty()) {
            PooledConnection connection = take(account);
            if (connection != null) {
                noteDemand();
                ready.accept(connection);
                return waiter;
            }
        }
        if (closed || waiters.size() >= QUEUE_LIMIT) {
            ready.accept(null);
            return waiter;
        }
        waiters.addLast(waiter);
        noteDemand();
        return waiter;
    }

    void withdraw(Waiter waiter) {
        waiters.remove(waiter);
    }

    private void noteDemand() {
        int demand = inUse() + waiters.size();
        if (demand > share && demand > peakDemand) {
            shareWanted.run();
        }
        peakDemand = Math.max(peakDemand, demand);
    }

    int inUse() {
        return open.size() - idle.size();
    }

    int load() {
        return inUse() + waiters.size();
    }

    /** True when a newcomer would surely wait longer than it can. */
    boolean hopeless(long patienceNanos) {
        double rounds = (double) waiters.size() / Math.max(1, share);
        return rounds * health.responseMillis() * NANOS_PER_MILLI > patienceNanos;
    }

    /** An idle connection of the account, a new one, or one in place of another account's. */
    private PooledConnection take(ClientAccountId account) {
        dropEnded();
        Iterator<PooledConnection> all = idle.iterator();
        while (all.hasNext()) {
            PooledConnection one = all.next();
            if (one.account().equals(account)) {
                all.remove();
                return one;
            }
        }
        boolean mayConnect = !closed && EventLoop.nowNanos() - connectAfterNanos >= 0;
        if (!mayConnect) {
            return null;
        }
        if (open.size() >= share && !idle.isEmpty()) {
            end(idle.removeLast());
        }
        return open.size() < share ? connect(account) : null;
    }

    private PooledConnection connect(ClientAccountId account) {
        PooledConnection[] made = new PooledConnection[1];
        boolean[] endedAtOnce = new boolean[1];
        made[0] =
                new PooledConnection(
                        connector.open(
                                target,
                                account,
                                () -> {
                                    endedAtOnce[0] = true;
                                    if (made[0] != null) {
                                        forget(made[0]);
                                    }
                                }),
                        account,
                        this);
        if (!endedAtOnce[0]) {
            open.add(made[0]);
        }
        return made[0];
    }

    private void forget(PooledConnection connection) {
        open.remove(connection);
        idle.remove(connection);
        serveWaiters();
    }

    private void end(PooledConnection connection) {
        open.remove(connection);
        connection.connection().close();
    }

    private void dropEnded() {
        idle.removeIf(
                connection -> {
                    if (connection.usable()) {
                        return false;
                    }
                    open.remove(connection);
                    return true;
                });
    }

    /** Notes how a connection attempt or statement ended. */
    void replied(EndpointReply reply, long sentNanos) {
        long now = EventLoop.nowNanos();
        if (reply.reply() == Reply.UNREACHABLE) {
            health.unreachable(now);
            connectAfterNanos = now + CONNECT_AGAIN_NANOS;
        } else if (reply.reply() == Reply.LOST) {
            health.lost(now);
        } else {
            health.answered(reply, sentNanos, now);
        }
    }

    /** Gives a connection back. */
    void release(PooledConnection connection, boolean keep) {
        if (!keep || !connection.usable() || open.size() > share || closed) {
            end(connection);
        } else {
            connection.idleSince(EventLoop.nowNanos());
            idle.addFirst(connection);
        }
        serveWaiters();
    }

    private void serveWaiters() {
        while (!waiters.isEmpty()) {
            Waiter next = nextWaiter();
            PooledConnection connection = take(next.account());
            if (connection == null) {
                return;
            }
            waiters.remove(next);
            next.ready().accept(connection);
        }
    }

    private Waiter nextWaiter() {
        Waiter first = waiters.peekFirst();
        boolean patient = EventLoop.nowNanos() - first.sinceNanos() < OWN_ACCOUNT_FIRST_NANOS;
        if (!patient || idle.isEmpty()) {
            return first;
        }
        int looked = 0;
        for (Waiter waiter : waiters) {
            for (PooledConnection connection : idle) {
                if (connection.account().equals(waiter.account())) {
                    return waiter;
                }
            }
            looked++;
            if (looked == OWN_ACCOUNT_LOOKAHEAD) {
                break;
            }
        }
        return first;
    }

    /**
     * Ends idle connections that have rested since a silent one was used; they may be silent too.
     */
    void distrustIdleSince(long nanos) {
        List<PooledConnection> old = new ArrayList<>();
        for (PooledConnection connection : idle) {
            if (connection.idleSince() - nanos < 0) {
                old.add(connection);
            }
        }
        idle.removeAll(old);
        old.forEach(this::end);
    }

    void tick() {
        serveWaiters();
    }

    void share(int newShare) {
        share = newShare;
        while (open.size() > share && !idle.isEmpty()) {
            end(idle.removeLast());
        }
        serveWaiters();
    }

    int share() {
        return share;
    }

    int limitInForce() {
        return Math.max(share, open.size());
    }

    int takeDemand() {
        int demand = peakDemand;
        peakDemand = load();
        return demand;
    }

    /** Takes no more work; connections in use end when they come back. */
    void close() {
        closed = true;
        List<PooledConnection> resting = new ArrayList<>(idle);
        idle.clear();
        resting.forEach(this::end);
        List<Waiter> waiting = new ArrayList<>(waiters);
        waiters.clear();
        waiting.forEach(waiter -> waiter.ready().accept(null));
    }

    TermPosition position() {
        return health.position();
    }
}
