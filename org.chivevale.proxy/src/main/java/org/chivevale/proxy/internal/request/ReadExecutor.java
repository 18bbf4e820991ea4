package org.chivevale.proxy.internal.request;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Group;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.route.PositionHistory;
import org.chivevale.core.route.ReadCandidate;
import org.chivevale.core.route.ReadChoice;
import org.chivevale.core.route.ReadRequirement;
import org.chivevale.core.route.ReadRouter;
import org.chivevale.core.session.Mark;
import org.chivevale.core.session.SessionToken;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.ReadResult;
import org.chivevale.database.ResultLimits;
import org.chivevale.database.ResultsJson;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.RegionRules;
import org.chivevale.proxy.internal.pool.InstancePool;
import org.chivevale.proxy.internal.pool.InstanceStats;
import org.chivevale.wire.proto.EndpointMember;

/**
 * Executes one read: chooses an endpoint, reads, and retries after a failure.
 *
 * <p>Invariants: the data is never older than what the session has seen or the caller accepts; no
 * result is returned without a lease; it runs only in a region that its account permits. Used on
 * the event loop, for a single request.
 */
final class ReadExecutor {
    private static final int MAX_STALE_REPLICA_READS = 2;
    private static final long RETRY_DELAY_MILLIS = 5;
    private static final long REPLICA_BACKOFF_NANOS = 1_000_000_000;

    private final RequestContext context;
    private final CallerRequest request;
    private final ReadRouter router;
    private int staleReplicaReads;

    ReadExecutor(RequestContext context, CallerRequest request) {
        this.context = context;
        this.request = request;
        ProxySettings.Timing timing = context.settings().timing();
        this.router =
                new ReadRouter(
                        timing.primarySurchargeMillis() * RequestContext.NANOS_PER_MILLI,
                        timing.readWaitMillis() * RequestContext.NANOS_PER_MILLI);
    }

    Future<CallerResponse> execute() {
        return attempt();
    }

    private Future<CallerResponse> attempt() {
        long now = EventLoop.nowNanos();
        if (!context.directory().isLeased(now)) {
            return retry(ResultCode.LEASE_MISSING, "the proxy has no fleet lease");
        }
        Group group = context.group(request.group());
        context.histories().recordRead(group, now);
        Mark mark = request.sessionOrEmpty().mark(request.group());
        if (mark != null && mark.term() > group.term()) {
            return retry(
                    ResultCode.PRIMARY_MISSING, "group " + group.id() + " is changing its term");
        }
        if (mark != null && !mark.primaryOnly() && !isStateKept(group, mark)) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.SESSION_STATE_LOST,
                            "group "
                                    + group.id()
                                    + ": the state that the session saw in term "
                                    + mark.term()
                                    + " was lost when the primary was replaced"));
        }
        PositionHistory history = context.histories().historyOf(group);
        ReadRequirement requirement = createRequirement(history, mark, now);
        Map<String, InstancePool> pools = new HashMap<>();
        ReadChoice choice = router.choose(requirement, findCandidates(group, pools, now), now);
        if (choice == null) {
            String rejection = context.directory().rejection(request.group());
            if (rejection != null) {
                return Future.failedFuture(
                        new ChivevaleException(
                                ResultCode.ENDPOINT_MISSING, Outcome.NOT_RUN, rejection));
            }
            ChivevaleException excluded =
                    context.findRegionExclusion(
                            request.account(), group, requirement.primaryOnly());
            if (excluded != null) {
                return Future.failedFuture(excluded);
            }
            return retry(
                    ResultCode.ENDPOINT_MISSING, "group " + group.id() + ": no endpoint can serve");
        }
        InstancePool pool = pools.get(choice.endpoint().value());
        return awaitReplica(choice)
                .compose(ignored -> readFromPool(group, pool, choice, requirement));
    }

    private static boolean isStateKept(Group group, Mark mark) {
        return mark.term() == group.term() || group.carriesOver(mark.term(), mark.position());
    }

    private Future<Void> awaitReplica(ReadChoice choice) {
        if (choice.waitNanos() == 0) {
            return Future.succeededFuture();
        }
        long millis = choice.waitNanos() / RequestContext.NANOS_PER_MILLI + 1;
        return context.delay(
                millis,
                request.deadlineNanos(),
                ResultCode.DEADLINE_PASSED,
                "no replica catches up before the deadline");
    }

    private ReadRequirement createRequirement(PositionHistory history, Mark mark, long nowNanos) {
        if (staleReplicaReads >= MAX_STALE_REPLICA_READS || mark != null && mark.primaryOnly()) {
            return new ReadRequirement(true, 0, -1);
        }
        long required = mark == null ? 0 : mark.position();
        if (request.acceptedAgeMillis() != CallerRequest.NO_ACCEPTED_AGE) {
            long freshEnough =
                    history.requiredPosition(
                            request.acceptedAgeMillis() * RequestContext.NANOS_PER_MILLI, nowNanos);
            if (freshEnough < 0) {
                return new ReadRequirement(true, 0, -1);
            }
            required = Math.max(required, freshEnough);
        } else if (request.session() == null) {
            return new ReadRequirement(true, 0, -1);
        }
        return new ReadRequirement(false, required, history.writtenByNanos(required));
    }

    private List<ReadCandidate> findCandidates(
            Group group, Map<String, InstancePool> pools, long nowNanos) {
        List<ReadCandidate> candidates = new ArrayList<>();
        RegionRules regions = context.regions();
        AllowedRegions allowed = regions.allowed(request.account());
        boolean mayUsePrimary =
                group.primary() != null
                        && context.isOpen(group.id(), group.primary())
                        && regions.permits(allowed, group.id(), group.primary());
        if (mayUsePrimary) {
            InstancePool pool = context.pools().primaryPool(group);
            pools.put(group.primary().value(), pool);
            candidates.add(toCandidate(pool, true));
        }
        for (EndpointMember member : context.directory().servingReplicas(group)) {
            InstancePool pool = context.pools().memberPool(member);
            if (allowed.permits(member.getRegion()) && !pool.stats().isAvoided(nowNanos)) {
                pools.put(member.getEndpointId(), pool);
                candidates.add(toCandidate(pool, false));
            }
        }
        return candidates;
    }

    private static ReadCandidate toCandidate(InstancePool pool, boolean primary) {
        InstanceStats stats = pool.stats();
        return new ReadCandidate(
                pool.key().endpoint(),
                primary,
                stats.position(),
                stats.responseNanos(),
                stats.lagNanos(),
                pool.inFlight(),
                Math.max(1, pool.share()));
    }

    private Future<CallerResponse> readFromPool(
            Group group, InstancePool pool, ReadChoice choice, ReadRequirement requirement) {
        return pool.acquire(request.account(), request.deadlineNanos())
                .compose(
                        connection ->
                                readOnConnection(connection, group, pool, choice, requirement))
                .recover(failure -> handleFailure(failure, pool, choice));
    }

    private Future<CallerResponse> readOnConnection(
            DatabaseConnection connection,
            Group group,
            InstancePool pool,
            ReadChoice choice,
            ReadRequirement requirement) {
        if (!context.isOpen(pool.key().group(), pool.key().endpoint())) {
            pool.release(connection);
            return retry(ResultCode.ENDPOINT_MISSING, pool.key() + " gets no new work");
        }
        long sentAtNanos = EventLoop.nowNanos();
        ProxySettings.Limits limits = context.settings().limits();
        Future<ReadResult> reading =
                connection.read(
                        request.account(),
                        request.statements(),
                        choice.primary(),
                        requirement.requiredPosition(),
                        new ResultLimits(limits.rows(), limits.responseBytes()));
        return context.withAttemptTimeout(reading, connection, request.deadlineNanos())
                .recover(
                        failure ->
                                Future.failedFuture(
                                        AttemptFailures.closeOnTimeout(failure, connection)))
                .onComplete(ended -> pool.release(connection))
                .compose(result -> handleResult(result, group, pool, choice, sentAtNanos));
    }

    private Future<CallerResponse> handleResult(
            ReadResult result,
            Group group,
            InstancePool pool,
            ReadChoice choice,
            long sentAtNanos) {
        long now = EventLoop.nowNanos();
        PositionHistory history = context.histories().historyOf(group);
        pool.stats().recordResponse(now - sentAtNanos, now);
        pool.stats()
                .recordPosition(
                        result.position(), history.lagNanos(result.position(), sentAtNanos));
        if (result.results().isEmpty()) {
            staleReplicaReads++;
            return attempt();
        }
        boolean sameTerm = context.group(request.group()).term() == group.term();
        if (!sameTerm || !context.directory().isLeased(now)) {
            return retry(
                    ResultCode.LEASE_MISSING,
                    "the fleet lease or the group's term ended during the read");
        }
        if (choice.primary()) {
            context.histories().recordSample(group, group.term(), sentAtNanos, result.position());
        }
        long ageNanos =
                choice.primary() ? 0 : history.ageBoundNanos(result.position(), sentAtNanos);
        Mark seen = new Mark(group.term(), result.position(), false);
        return Future.succeededFuture(
                CallerResponse.success(
                        updateSession(seen),
                        ResultsJson.write(result.results()),
                        choice.primary() ? CallerResponse.PRIMARY : CallerResponse.REPLICA,
                        false,
                        ageNanos < 0 ? -1 : ageNanos / RequestContext.NANOS_PER_MILLI));
    }

    private SessionToken updateSession(Mark seen) {
        SessionToken session = request.sessionOrEmpty();
        Mark before = session.mark(request.group());
        boolean wasPrimaryOnly = before != null && before.primaryOnly();
        return wasPrimaryOnly
                ? session.replace(request.group(), seen)
                : session.raise(request.group(), seen);
    }

    private Future<CallerResponse> handleFailure(
            Throwable failure, InstancePool pool, ReadChoice choice) {
        DatabaseFailure.Kind kind = AttemptFailures.kindOf(failure);
        if (kind == null) {
            return Future.failedFuture(failure);
        }
        switch (kind) {
            case LOST_BEFORE_COMMIT, LOST_AFTER_COMMIT, ROLE_MISSING -> {
                if (!choice.primary()) {
                    pool.stats().avoidUntil(EventLoop.nowNanos() + REPLICA_BACKOFF_NANOS);
                }
                return retry(ResultCode.CONNECTION_LOST, failure.getMessage());
            }
            case ANSWER_TOO_LARGE -> {
                return Future.failedFuture(
                        new ChivevaleException(
                                ResultCode.ANSWER_TOO_LARGE,
                                Outcome.NOT_RUN,
                                failure.getMessage()));
            }
            default -> {
                if (AttemptFailures.isTransient(failure)) {
                    return retry(ResultCode.STATEMENT_FAILED, failure.getMessage());
                }
                String state = ((DatabaseFailure) failure).sqlState();
                return Future.succeededFuture(
                        CallerResponse.statementFailure(state, failure.getMessage()));
            }
        }
    }

    private Future<CallerResponse> retry(ResultCode timeoutCode, String message) {
        return context.delay(RETRY_DELAY_MILLIS, request.deadlineNanos(), timeoutCode, message)
                .compose(ignored -> attempt());
    }
}
