package org.chivevale.proxy.internal.pool;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.admission.FairQueue;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseConnector;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.process.EventLoop;

/**
 * The connections of this proxy to one instance, within the share that control grants.
 *
 * <p>Invariants: open connections never exceed the share, but for those in use when it shrank; a
 * connection is used by one request at a time; requests that wait are served in turn by client
 * account. Used on the event loop.
 */
public final class InstancePool {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long CONNECT_BACKOFF_MILLIS = 50;
    private static final long IDLE_PROBE_MILLIS = 3000;

    private final InstanceKey key;
    private final DatabaseConnector connector;
    private final InstanceStats stats;
    private final FairQueue<Waiting> queue;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private final Runnable shareWanted;
    private HostPort address;
    private int share;
    private int open;
    private int inUse;
    private int peakDemand;
    private long connectAfterNanos;
    private boolean closed;

    private record Idle(DatabaseConnection connection, long sinceNanos) {}

    private record Waiting(ClientAccountId account, Promise<DatabaseConnection> promise) {}

    InstancePool(
            InstanceKey key,
            HostPort address,
            DatabaseConnector connector,
            int queuedPerAccount,
            Runnable shareWanted) {
        this.key = key;
        this.address = address;
        this.connector = connector;
        this.queue = new FairQueue<>(queuedPerAccount);
        this.shareWanted = shareWanted;
        this.stats = new InstanceStats(EventLoop.nowNanos());
        this.connectAfterNanos = EventLoop.nowNanos();
    }

    /**
     * Returns which instance this is.
     *
     * @return the key
     */
    public InstanceKey key() {
        return key;
    }

    /**
     * Returns what was seen of the instance.
     *
     * @return the live statistics
     */
    public InstanceStats stats() {
        return stats;
    }

    /**
     * Takes a connection.
     *
     * @param account for whom
     * @param deadlineNanos the monotonic time until which to wait
     * @return a usable connection, to be given back with {@link #release}
     */
    public Future<DatabaseConnection> acquire(ClientAccountId account, long deadlineNanos) {
        DatabaseConnection ready = takeIdle(account);
        if (ready != null) {
            inUse++;
            noteDemand();
            return Future.succeededFuture(ready);
        }
        Promise<DatabaseConnection> promise = Promise.promise();
        if (!queue.offer(account, new Waiting(account, promise), deadlineNanos)) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.QUEUE_FULL,
                            "client account " + account + " has too many requests at " + key));
        }
        noteDemand();
        openIfAllowed();
        return promise.future();
    }

    private void noteDemand() {
        int demand = inUse + queue.size();
        if (demand > share && demand > peakDemand) {
            peakDemand = demand;
            shareWanted.run();
        }
        peakDemand = Math.max(peakDemand, demand);
    }

    private DatabaseConnection takeIdle(ClientAccountId account) {
        Idle best = null;
        for (Idle candidate : idle) {
            boolean suits = account.equals(candidate.connection().readingAccount());
            if (best == null || suits) {
                best = candidate;
            }
            if (suits) {
                break;
            }
        }
        if (best == null) {
            return null;
        }
        idle.remove(best);
        return best.connection();
    }

    private void openIfAllowed() {
        long now = EventLoop.nowNanos();
        boolean wanted = queue.size() > open - inUse - idle.size();
        if (closed || !wanted || open >= share || now - connectAfterNanos < 0) {
            return;
        }
        open++;
        connector
                .connect(address.host(), address.port(), key.group(), this::connectionClosed)
                .onComplete(
                        ended -> {
                            if (ended.succeeded()) {
                                opened(ended.result());
                            } else {
                                openFailed(ended.cause());
                            }
                        });
    }

    private void opened(DatabaseConnection connection) {
        stats.answered(stats.responseNanos(), EventLoop.nowNanos());
        offer(connection);
    }

    private void openFailed(Throwable failure) {
        open--;
        long now = EventLoop.nowNanos();
        connectAfterNanos = now + CONNECT_BACKOFF_MILLIS * NANOS_PER_MILLI;
        if (open == 0) {
            failWaiting(failure);
        }
    }

    private void failWaiting(Throwable failure) {
        Waiting waiting = queue.poll(EventLoop.nowNanos());
        while (waiting != null) {
            waiting.promise().tryFail(failure);
            waiting = queue.poll(EventLoop.nowNanos());
        }
    }

    private void connectionClosed() {
        Iterator<Idle> all = idle.iterator();
        while (all.hasNext()) {
            if (!all.next().connection().usable()) {
                all.remove();
                open--;
            }
        }
    }

    /**
     * Gives a connection back; one that is not usable is closed.
     *
     * @param connection a result of {@link #acquire}
     */
    public void release(DatabaseConnection connection) {
        inUse--;
        offer(connection);
    }

    /**
     * Asks a question on a taken connection and gives the connection back.
     *
     * <p>The answer's time is noted; a connection that does not answer in time is closed.
     *
     * @param connection a result of {@link #acquire}
     * @param question what is asked
     * @param timeoutMillis how long the endpoint may take
     * @param <T> what it answers
     * @return the answer
     */
    public <T> Future<T> ask(
            DatabaseConnection connection,
            Function<DatabaseConnection, Future<T>> question,
            long timeoutMillis) {
        long asked = EventLoop.nowNanos();
        return question.apply(connection)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .onSuccess(
                        answer -> {
                            long now = EventLoop.nowNanos();
                            stats.answered(now - asked, now);
                        })
                .onFailure(failure -> connection.close())
                .onComplete(ended -> release(connection));
    }

    private void offer(DatabaseConnection connection) {
        if (!connection.usable() || open > share || closed) {
            connection.close();
            open--;
            openIfAllowed();
            return;
        }
        Waiting next = queue.poll(EventLoop.nowNanos());
        if (next == null) {
            idle.addFirst(new Idle(connection, EventLoop.nowNanos()));
            return;
        }
        inUse++;
        next.promise().complete(connection);
    }

    /** Refuses requests past their deadline and opens connections that are wanted. */
    void tick() {
        for (Waiting late : queue.expire(EventLoop.nowNanos())) {
            late.promise()
                    .tryFail(
                            new ChivevaleException(
                                    ResultCode.DEADLINE_PASSED,
                                    "no connection to " + key + " before the deadline"));
        }
        openIfAllowed();
    }

    /**
     * Finds an idle connection that should be probed.
     *
     * @return it counts as in use until it is released; null when there is none
     */
    DatabaseConnection takeForProbe() {
        Idle oldest = idle.peekLast();
        long now = EventLoop.nowNanos();
        if (oldest == null || now - oldest.sinceNanos() < IDLE_PROBE_MILLIS * NANOS_PER_MILLI) {
            return null;
        }
        idle.removeLast();
        inUse++;
        return oldest.connection();
    }

    /**
     * Sets the share; a smaller one closes idle connections.
     *
     * @param newShare connections that may be open
     */
    void share(int newShare) {
        share = newShare;
        while (open > share && !idle.isEmpty()) {
            idle.removeLast().connection().close();
            open--;
        }
        openIfAllowed();
    }

    /** Sends those that wait elsewhere, because the instance no longer serves what they want. */
    void turnAway() {
        failWaiting(
                new DatabaseFailure(
                        DatabaseFailure.Kind.LOST_BEFORE_COMMIT,
                        "",
                        "endpoint instance " + key + " no longer serves"));
    }

    /**
     * Moves the pool to another address of the same instance.
     *
     * @param newAddress where connections are opened from now on
     */
    void address(HostPort newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            closeIdle();
        }
    }

    private void closeIdle() {
        while (!idle.isEmpty()) {
            idle.removeFirst().connection().close();
            open--;
        }
    }

    /** Closes idle connections and all that come back; waiting requests fail. */
    void close() {
        closed = true;
        closeIdle();
        failWaiting(
                new ChivevaleException(
                        ResultCode.ENDPOINT_MISSING, "endpoint instance " + key + " has left"));
    }

    /**
     * Returns the share that this pool keeps to.
     *
     * @return the share, or the open connections while they are more
     */
    int limitInForce() {
        return Math.max(share, open);
    }

    /**
     * Returns the share.
     *
     * @return connections that may be open
     */
    public int share() {
        return share;
    }

    /**
     * Returns how many connections could be used, and starts to measure anew.
     *
     * @return the highest demand since the last call
     */
    int takeDemand() {
        int demand = peakDemand;
        peakDemand = inUse + queue.size();
        return demand;
    }

    /**
     * Returns the requests that use or wait for a connection.
     *
     * @return how many
     */
    public int inFlight() {
        return inUse + queue.size();
    }

    /**
     * Returns whether nothing uses the pool.
     *
     * @return true when no request uses or waits for a connection
     */
    boolean unused() {
        return inFlight() == 0;
    }
}
