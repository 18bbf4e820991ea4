package org.chivevale.proxy.internal.request;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.config.Group;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.GroupId;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.pool.PoolService;

/**
 * What executing requests needs from the rest of the proxy.
 *
 * <p>Used on the event loop.
 */
public final class RequestContext {
    static final long NANOS_PER_MILLI = 1_000_000;
    private static final long WAIT_MILLIS = 10;

    private final ProxySettings settings;
    private final Directory directory;
    private final PoolService pools;
    private final GroupHistories histories;
    private final Vertx vertx;

    /**
     * Creates the context.
     *
     * @param settings the process's settings
     * @param directory knows lease, configuration and members
     * @param pools hands out connections
     * @param histories remember primaries' positions
     * @param vertx runs timers
     */
    public RequestContext(
            ProxySettings settings,
            Directory directory,
            PoolService pools,
            GroupHistories histories,
            Vertx vertx) {
        this.settings = settings;
        this.directory = directory;
        this.pools = pools;
        this.histories = histories;
        this.vertx = vertx;
    }

    ProxySettings settings() {
        return settings;
    }

    Directory directory() {
        return directory;
    }

    PoolService pools() {
        return pools;
    }

    GroupHistories histories() {
        return histories;
    }

    Group group(GroupId id) {
        return directory.configuration().group(id);
    }

    /** Waits a little before another attempt; fails when the deadline would pass. */
    Future<Void> pause(long millis, long deadlineNanos, ResultCode late, String message) {
        long now = EventLoop.nowNanos();
        if (now + millis * NANOS_PER_MILLI - deadlineNanos >= 0) {
            return Future.failedFuture(new ChivevaleException(late, message));
        }
        return vertx.timer(Math.max(1, millis), TimeUnit.MILLISECONDS).mapEmpty();
    }

    /** Waits until the lease stands and the group has a primary. */
    public Future<Group> awaitPrimary(GroupId id, long deadlineNanos) {
        Group group = group(id);
        boolean leased = directory.isLeased(EventLoop.nowNanos());
        if (leased && group.primary() != null) {
            return Future.succeededFuture(group);
        }
        ResultCode missing = leased ? ResultCode.PRIMARY_MISSING : ResultCode.LEASE_MISSING;
        return pause(WAIT_MILLIS, deadlineNanos, missing, "group " + id)
                .compose(ignored -> awaitPrimary(id, deadlineNanos));
    }

    /** Returns how long one attempt may take. */
    long attemptMillis(long deadlineNanos) {
        long leftMillis = (deadlineNanos - EventLoop.nowNanos()) / NANOS_PER_MILLI;
        return Math.max(1, Math.min(leftMillis, settings.timing().statementTimeoutMillis()));
    }

    /** Ends an attempt that takes too long by closing its connection. */
    <T> Future<T> limit(Future<T> attempt, DatabaseConnection connection, long deadlineNanos) {
        return attempt.timeout(attemptMillis(deadlineNanos), TimeUnit.MILLISECONDS);
    }
}
