package org.chivevale.proxy.internal.request;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Group;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.fleet.RegionRules;
import org.chivevale.proxy.internal.pool.PoolService;

/**
 * The parts of the proxy that the execution of requests uses.
 *
 * <p>Used on the event loop.
 */
public final class RequestContext {
    static final long NANOS_PER_MILLI = 1_000_000;
    private static final long PRIMARY_POLL_MILLIS = 10;

    private final ProxySettings settings;
    private final Directory directory;
    private final PoolService pools;
    private final GroupPositionHistories histories;
    private final Vertx vertx;
    private final RegionRules regions;

    /**
     * Bundles the parts that execution uses.
     *
     * @param settings the process's settings
     * @param directory the lease, the configuration and the members
     * @param pools the connection pools of the endpoints
     * @param histories the sampled positions of the primaries
     * @param vertx the event loop's timers
     */
    public RequestContext(
            ProxySettings settings,
            Directory directory,
            PoolService pools,
            GroupPositionHistories histories,
            Vertx vertx) {
        this.settings = settings;
        this.directory = directory;
        this.pools = pools;
        this.histories = histories;
        this.vertx = vertx;
        this.regions = new RegionRules(settings, directory);
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

    GroupPositionHistories histories() {
        return histories;
    }

    Group group(GroupId id) {
        return directory.configuration().group(id);
    }

    /** Waits before another attempt; fails at once when the deadline would pass meanwhile. */
    Future<Void> delay(long millis, long deadlineNanos, ResultCode timeoutCode, String message) {
        long now = EventLoop.nowNanos();
        if (now + millis * NANOS_PER_MILLI - deadlineNanos >= 0) {
            return Future.failedFuture(new ChivevaleException(timeoutCode, message));
        }
        return vertx.timer(Math.max(1, millis), TimeUnit.MILLISECONDS).mapEmpty();
    }

    /** Returns whether an endpoint may get new work. */
    boolean isOpen(GroupId group, EndpointId endpoint) {
        return directory.availability().isOpen(group, endpoint);
    }

    private String closedReason(Group group) {
        String reason =
                group.primary() == null
                        ? ""
                        : directory.availability().reason(group.id(), group.primary());
        return reason.isEmpty() ? "" : ": " + reason;
    }

    RegionRules regions() {
        return regions;
    }

    /**
     * Returns the failure of a request that its regions keep from every endpoint that could serve
     * it, or null when there is none.
     */
    ChivevaleException findRegionExclusion(
            ClientAccountId account, Group group, boolean primaryOnly) {
        String reason = regions.findExclusion(regions.allowed(account), group, primaryOnly);
        return reason == null
                ? null
                : new ChivevaleException(
                        ResultCode.REGION_NOT_ALLOWED, "group " + group.id() + ": " + reason);
    }

    /**
     * Waits until the proxy holds a lease and the group has a primary that may run requests of the
     * account; fails at once when the primary's region excludes them.
     */
    public Future<Group> awaitPermittedPrimary(
            ClientAccountId account, GroupId id, long deadlineNanos) {
        return awaitPrimary(id, deadlineNanos)
                .compose(
                        group -> {
                            AllowedRegions allowed = regions.allowed(account);
                            if (regions.permits(allowed, id, group.primary())) {
                                return Future.succeededFuture(group);
                            }
                            ChivevaleException excluded = findRegionExclusion(account, group, true);
                            if (excluded != null) {
                                return Future.failedFuture(excluded);
                            }
                            return delay(
                                            PRIMARY_POLL_MILLIS,
                                            deadlineNanos,
                                            ResultCode.PRIMARY_MISSING,
                                            "the region of the primary of group "
                                                    + id
                                                    + " is unknown")
                                    .compose(
                                            ignored ->
                                                    awaitPermittedPrimary(
                                                            account, id, deadlineNanos));
                        });
    }

    /**
     * Waits until the proxy holds a lease and the group has a primary that may get work; fails at
     * once when no live member outside evacuated data centres exists.
     */
    private Future<Group> awaitPrimary(GroupId id, long deadlineNanos) {
        Group group = group(id);
        boolean leased = directory.isLeased(EventLoop.nowNanos());
        if (leased && group.primary() != null && isOpen(id, group.primary())) {
            return Future.succeededFuture(group);
        }
        String rejection = leased ? directory.rejection(id) : null;
        if (rejection != null) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.ENDPOINT_MISSING, Outcome.NOT_RUN, rejection));
        }
        ResultCode timeoutCode = leased ? ResultCode.PRIMARY_MISSING : ResultCode.LEASE_MISSING;
        return delay(
                        PRIMARY_POLL_MILLIS,
                        deadlineNanos,
                        timeoutCode,
                        "waiting for a lease and a primary of group " + id + closedReason(group))
                .compose(ignored -> awaitPrimary(id, deadlineNanos));
    }

    /** Returns the maximum duration of one attempt. */
    long attemptTimeoutMillis(long deadlineNanos) {
        long remainingMillis = (deadlineNanos - EventLoop.nowNanos()) / NANOS_PER_MILLI;
        return Math.max(1, Math.min(remainingMillis, settings.timing().statementTimeoutMillis()));
    }

    /** Fails an attempt that exceeds its timeout; the connection is left to the caller to close. */
    <T> Future<T> withAttemptTimeout(
            Future<T> attempt, DatabaseConnection connection, long deadlineNanos) {
        return attempt.timeout(attemptTimeoutMillis(deadlineNanos), TimeUnit.MILLISECONDS);
    }
}
