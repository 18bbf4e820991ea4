package org.chivevale.proxy.internal.pool;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.Set;
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
 * Pool of this proxy's connections to one instance, within the share that control grants.
 *
 * <p>Invariants: open connections never exceed the share, except for those in use when it was
 * reduced; a connection is used by one request at a time; no request starts on a connection to an
 * earlier address; waiting requests are served round robin by client account. Used on the event
 * loop.
 */
public final class InstancePool {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long CONNECT_BACKOFF_MILLIS = 50;
    private static final long PROBE_AFTER_IDLE_MILLIS = 3000;

    private final InstanceKey key;
    private final DatabaseConnector connector;
    private final InstanceStats stats;
    private final FairQueue<WaitingRequest> queue;
    private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();
    private final Runnable onShareExceeded;

    /** Connections to the current address; others are closed once they are released. */
    private final Set<DatabaseConnection> connectionsToAddress =
            Collections.newSetFromMap(new IdentityHashMap<>());

    private HostPort address;
    private int share;
    private int openConnections;
    private int inUse;
    private int peakDemand;
    private long connectAfterNanos;
    private boolean isClosed;
    private boolean isBlocked;

    private record IdleConnection(DatabaseConnection connection, long idleSinceNanos) {}

    private record WaitingRequest(ClientAccountId account, Promise<DatabaseConnection> promise) {}

    InstancePool(
            InstanceKey key,
            HostPort address,
            DatabaseConnector connector,
            int queuedPerAccount,
            Runnable onShareExceeded) {
        this.key = key;
        this.address = address;
        this.connector = connector;
        this.queue = new FairQueue<>(queuedPerAccount);
        this.onShareExceeded = onShareExceeded;
        this.stats = new InstanceStats(EventLoop.nowNanos());
        this.connectAfterNanos = EventLoop.nowNanos();
    }

    /**
     * Returns the key of the instance that the connections lead to.
     *
     * @return the endpoint and the group
     */
    public InstanceKey key() {
        return key;
    }

    /**
     * Returns the statistics of the instance.
     *
     * @return the live statistics
     */
    public InstanceStats stats() {
        return stats;
    }

    /**
     * Acquires a connection, waiting for one if necessary.
     *
     * @param account the client account that the request belongs to
     * @param deadlineNanos the monotonic time until which to wait
     * @return a usable connection, to be returned with {@link #release}
     */
    public Future<DatabaseConnection> acquire(ClientAccountId account, long deadlineNanos) {
        DatabaseConnection idleConnection = takeIdle(account);
        if (idleConnection != null) {
            inUse++;
            updatePeakDemand();
            return Future.succeededFuture(idleConnection);
        }
        if (isBlocked) {
            return Future.failedFuture(notServing());
        }
        Promise<DatabaseConnection> promise = Promise.promise();
        if (!queue.offer(account, new WaitingRequest(account, promise), deadlineNanos)) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.QUEUE_FULL,
                            "client account "
                                    + account
                                    + " has too many requests queued for "
                                    + key));
        }
        updatePeakDemand();
        openIfNeeded();
        return promise.future();
    }

    private void updatePeakDemand() {
        int demand = inUse + queue.size();
        if (demand > share && demand > peakDemand) {
            peakDemand = demand;
            onShareExceeded.run();
        }
        peakDemand = Math.max(peakDemand, demand);
    }

    private DatabaseConnection takeIdle(ClientAccountId account) {
        IdleConnection best = null;
        for (IdleConnection candidate : idleConnections) {
            boolean matchesAccount = account.equals(candidate.connection().readingAccount());
            if (best == null || matchesAccount) {
                best = candidate;
            }
            if (matchesAccount) {
                break;
            }
        }
        if (best == null) {
            return null;
        }
        idleConnections.remove(best);
        return best.connection();
    }

    private void openIfNeeded() {
        long now = EventLoop.nowNanos();
        boolean isNeeded = queue.size() > openConnections - inUse - idleConnections.size();
        if (isClosed
                || isBlocked
                || !isNeeded
                || openConnections >= share
                || now - connectAfterNanos < 0) {
            return;
        }
        openConnections++;
        HostPort target = address;
        connector
                .connect(address.host(), address.port(), key.group(), this::onConnectionClosed)
                .onComplete(
                        ended -> {
                            if (ended.succeeded()) {
                                onOpened(target, ended.result());
                            } else {
                                onOpenFailed(target, ended.cause());
                            }
                        });
    }

    private void onOpened(HostPort target, DatabaseConnection connection) {
        if (target.equals(address)) {
            connectionsToAddress.add(connection);
            stats.recordResponse(stats.responseNanos(), EventLoop.nowNanos());
        }
        recycle(connection);
    }

    private void onOpenFailed(HostPort target, Throwable failure) {
        openConnections--;
        if (!target.equals(address)) {
            openIfNeeded();
            return;
        }
        long now = EventLoop.nowNanos();
        connectAfterNanos = now + CONNECT_BACKOFF_MILLIS * NANOS_PER_MILLI;
        if (openConnections == 0) {
            failQueue(failure);
        }
    }

    private void failQueue(Throwable failure) {
        WaitingRequest waiting = queue.poll(EventLoop.nowNanos());
        while (waiting != null) {
            waiting.promise().tryFail(failure);
            waiting = queue.poll(EventLoop.nowNanos());
        }
    }

    private void onConnectionClosed() {
        Iterator<IdleConnection> candidates = idleConnections.iterator();
        while (candidates.hasNext()) {
            DatabaseConnection candidate = candidates.next().connection();
            if (!candidate.usable()) {
                candidates.remove();
                connectionsToAddress.remove(candidate);
                openConnections--;
            }
        }
    }

    /**
     * Returns a connection to the pool; closes one that is no longer usable.
     *
     * @param connection a result of {@link #acquire}
     */
    public void release(DatabaseConnection connection) {
        inUse--;
        recycle(connection);
    }

    /**
     * Runs a call on an acquired connection and releases the connection.
     *
     * <p>Records the response time; closes the connection when the call fails or times out.
     *
     * @param connection a result of {@link #acquire}
     * @param call starts the call to the endpoint
     * @param timeoutMillis the maximum duration of the call
     * @param <T> the type of the call's result
     * @return the call's result
     */
    public <T> Future<T> runAndRelease(
            DatabaseConnection connection,
            Function<DatabaseConnection, Future<T>> call,
            long timeoutMillis) {
        long sentAtNanos = EventLoop.nowNanos();
        return call.apply(connection)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .onSuccess(
                        result -> {
                            long now = EventLoop.nowNanos();
                            stats.recordResponse(now - sentAtNanos, now);
                        })
                .onFailure(failure -> connection.close())
                .onComplete(ended -> release(connection));
    }

    private void recycle(DatabaseConnection connection) {
        boolean isKept = connection.usable() && connectionsToAddress.contains(connection);
        if (!isKept || openConnections > share || isClosed || isBlocked) {
            discard(connection);
            openIfNeeded();
            return;
        }
        WaitingRequest next = queue.poll(EventLoop.nowNanos());
        if (next == null) {
            idleConnections.addFirst(new IdleConnection(connection, EventLoop.nowNanos()));
            return;
        }
        inUse++;
        next.promise().complete(connection);
    }

    private void discard(DatabaseConnection connection) {
        connectionsToAddress.remove(connection);
        connection.close();
        openConnections--;
    }

    /** Rejects waiting requests past their deadline and opens a connection if one is needed. */
    void tick() {
        for (WaitingRequest expired : queue.expire(EventLoop.nowNanos())) {
            expired.promise()
                    .tryFail(
                            new ChivevaleException(
                                    ResultCode.DEADLINE_PASSED,
                                    "no connection to "
                                            + key
                                            + " became available before the deadline"));
        }
        openIfNeeded();
    }

    /**
     * Acquires the connection that has been idle longest, if it is due for a probe.
     *
     * @return the connection, in use until {@link #release}; null when none is due
     */
    DatabaseConnection acquireForProbe() {
        IdleConnection oldest = idleConnections.peekLast();
        long now = EventLoop.nowNanos();
        if (oldest == null
                || now - oldest.idleSinceNanos() < PROBE_AFTER_IDLE_MILLIS * NANOS_PER_MILLI) {
            return null;
        }
        idleConnections.removeLast();
        inUse++;
        return oldest.connection();
    }

    /**
     * Sets the share; closes idle connections beyond a reduced one.
     *
     * @param newShare the maximum number of open connections
     */
    void setShare(int newShare) {
        share = newShare;
        while (openConnections > share && !idleConnections.isEmpty()) {
            discard(idleConnections.removeLast().connection());
        }
        openIfNeeded();
    }

    /** Fails the waiting requests, so that they are retried on an instance that still serves. */
    void failWaitingRequests() {
        failQueue(notServing());
    }

    private DatabaseFailure notServing() {
        return new DatabaseFailure(
                DatabaseFailure.Kind.LOST_BEFORE_COMMIT,
                "",
                "endpoint instance " + key + " no longer serves requests");
    }

    /** Sets whether the instance gets no new work; true ends idle connections and waiting. */
    void setBlocked(boolean blocked) {
        isBlocked = blocked;
        if (blocked) {
            closeIdle();
            failWaitingRequests();
        } else {
            openIfNeeded();
        }
    }

    boolean isBlocked() {
        return isBlocked;
    }

    /**
     * Sets the address of the instance; closes the connections to an earlier one, those in use and
     * those being opened once they are released or open.
     *
     * @param newAddress the address to open connections to
     */
    void setAddress(HostPort newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            closeIdle();
            connectionsToAddress.clear();
            connectAfterNanos = EventLoop.nowNanos();
        }
    }

    private void closeIdle() {
        while (!idleConnections.isEmpty()) {
            discard(idleConnections.removeFirst().connection());
        }
    }

    /** Closes idle connections at once and others when released; fails waiting requests. */
    void close() {
        isClosed = true;
        closeIdle();
        failQueue(
                new ChivevaleException(
                        ResultCode.ENDPOINT_MISSING,
                        "the pool of endpoint instance " + key + " is closed"));
    }

    /**
     * Returns the number of connections that this pool occupies.
     *
     * @return the share, or the number of open connections while it exceeds the share
     */
    int limitInForce() {
        return Math.max(share, openConnections);
    }

    /**
     * Returns the share.
     *
     * @return the maximum number of open connections
     */
    public int share() {
        return share;
    }

    /**
     * Returns the peak demand for connections and restarts its measurement.
     *
     * @return the highest number of requests that used or waited for a connection since the last
     *     call
     */
    int takePeakDemand() {
        int demand = peakDemand;
        peakDemand = inUse + queue.size();
        return demand;
    }

    /**
     * Returns the number of requests that use or wait for a connection.
     *
     * @return the number of requests
     */
    public int inFlight() {
        return inUse + queue.size();
    }

    /**
     * Returns whether the pool is unused.
     *
     * @return true when no request uses or waits for a connection
     */
    boolean isUnused() {
        return inFlight() == 0;
    }
}
