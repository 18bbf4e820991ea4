package org.chivevale.proxy.internal.request;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivevale.core.config.Group;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.route.PositionHistory;
import org.chivevale.core.route.ReadCandidate;
import org.chivevale.core.route.ReadChoice;
import org.chivevale.core.route.ReadDemand;
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
import org.chivevale.proxy.internal.pool.InstancePool;
import org.chivevale.proxy.internal.pool.InstanceStats;
import org.chivevale.wire.proto.EndpointMember;

/**
 * Runs one read: chooses an endpoint, reads, and goes elsewhere when that fails.
 *
 * <p>Invariants: the data is never older than the session has seen or the caller accepts; nothing
 * is answered without a lease. Used on the event loop, once.
 */
final class ReadExecutor {
    private static final int REPLICA_ATTEMPTS = 2;
    private static final long RETRY_MILLIS = 5;
    private static final long AVOID_NANOS = 1_000_000_000;

    private final RequestContext context;
    private final CallerRequest request;
    private final ReadRouter router;
    private int replicaMisses;

    ReadExecutor(RequestContext context, CallerRequest request) {
        this.context = context;
        this.request = request;
        ProxySettings.Timing timing = context.settings().timing();
        this.router =
                new ReadRouter(
                        timing.primarySurchargeMillis() * RequestContext.NANOS_PER_MILLI,
                        timing.readWaitMillis() * RequestContext.NANOS_PER_MILLI);
    }

    Future<CallerAnswer> call() {
        return attempt();
    }

    private Future<CallerAnswer> attempt() {
        long now = EventLoop.nowNanos();
        if (!context.directory().leased(now)) {
            return again(ResultCode.LEASE_MISSING, "no fleet lease");
        }
        Group group = context.group(request.group());
        context.histories().read(group, now);
        Mark mark = request.sessionOrEmpty().mark(request.group());
        if (mark != null && mark.term() > group.term()) {
            return again(ResultCode.PRIMARY_MISSING, "group " + group.id() + " changes its term");
        }
        if (mark != null && !mark.primaryOnly() && !carriedOver(group, mark)) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.SESSION_STATE_LOST,
                            "group "
                                    + group.id()
                                    + ": what the session saw in term "
                                    + mark.term()
                                    + " was lost with its primary"));
        }
        PositionHistory history = context.histories().of(group);
        ReadDemand demand = demand(history, mark, now);
        Map<String, InstancePool> pools = new HashMap<>();
        ReadChoice choice = router.choose(demand, candidates(group, pools, now), now);
        if (choice == null) {
            return again(
                    ResultCode.ENDPOINT_MISSING, "group " + group.id() + ": no endpoint can serve");
        }
        InstancePool pool = pools.get(choice.endpoint().value());
        return waitFor(choice).compose(ignored -> read(group, pool, choice, demand));
    }

    private static boolean carriedOver(Group group, Mark mark) {
        return mark.term() == group.term() || group.carriesOver(mark.term(), mark.position());
    }

    private Future<Void> waitFor(ReadChoice choice) {
        if (choice.waitNanos() == 0) {
            return Future.succeededFuture();
        }
        long millis = choice.waitNanos() / RequestContext.NANOS_PER_MILLI + 1;
        return context.pause(
                millis, request.deadlineNanos(), ResultCode.DEADLINE_PASSED, "waiting to catch up");
    }

    private ReadDemand demand(PositionHistory history, Mark mark, long nowNanos) {
        if (replicaMisses >= REPLICA_ATTEMPTS || mark != null && mark.primaryOnly()) {
            return new ReadDemand(true, 0, -1);
        }
        long required = mark == null ? 0 : mark.position();
        if (request.acceptedAgeMillis() != CallerRequest.NO_AGE) {
            long young =
                    history.requiredFor(
                            request.acceptedAgeMillis() * RequestContext.NANOS_PER_MILLI, nowNanos);
            if (young < 0) {
                return new ReadDemand(true, 0, -1);
            }
            required = Math.max(required, young);
        } else if (request.session() == null) {
            return new ReadDemand(true, 0, -1);
        }
        return new ReadDemand(false, required, history.writtenByNanos(required));
    }

    private List<ReadCandidate> candidates(
            Group group, Map<String, InstancePool> pools, long nowNanos) {
        List<ReadCandidate> candidates = new ArrayList<>();
        if (group.primary() != null) {
            InstancePool pool = context.pools().primary(group);
            pools.put(group.primary().value(), pool);
            candidates.add(candidate(pool, true));
        }
        for (EndpointMember member : context.directory().replicas(group)) {
            InstancePool pool = context.pools().member(member);
            if (!pool.stats().avoided(nowNanos)) {
                pools.put(member.getEndpointId(), pool);
                candidates.add(candidate(pool, false));
            }
        }
        return candidates;
    }

    private static ReadCandidate candidate(InstancePool pool, boolean primary) {
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

    private Future<CallerAnswer> read(
            Group group, InstancePool pool, ReadChoice choice, ReadDemand demand) {
        return pool.acquire(request.account(), request.deadlineNanos())
                .compose(connection -> readOn(connection, group, pool, choice, demand))
                .recover(failure -> afterFailure(failure, pool, choice));
    }

    private Future<CallerAnswer> readOn(
            DatabaseConnection connection,
            Group group,
            InstancePool pool,
            ReadChoice choice,
            ReadDemand demand) {
        long asked = EventLoop.nowNanos();
        ProxySettings.Limits limits = context.settings().limits();
        Future<ReadResult> reading =
                connection.read(
                        request.account(),
                        request.statements(),
                        choice.primary(),
                        demand.requiredPosition(),
                        new ResultLimits(limits.rows(), limits.answerBytes()));
        return context.limit(reading, connection, request.deadlineNanos())
                .recover(
                        failure ->
                                Future.failedFuture(
                                        AttemptFailures.closeOnTimeout(failure, connection)))
                .onComplete(ended -> pool.release(connection))
                .compose(answer -> answered(answer, group, pool, choice, asked));
    }

    private Future<CallerAnswer> answered(
            ReadResult answer, Group group, InstancePool pool, ReadChoice choice, long askedNanos) {
        long now = EventLoop.nowNanos();
        PositionHistory history = context.histories().of(group);
        pool.stats().answered(now - askedNanos, now);
        pool.stats().reached(answer.position(), history.lagNanos(answer.position(), askedNanos));
        if (answer.results().isEmpty()) {
            replicaMisses++;
            return attempt();
        }
        boolean sameTerm = context.group(request.group()).term() == group.term();
        if (!sameTerm || !context.directory().leased(now)) {
            return again(ResultCode.LEASE_MISSING, "the fleet lease ended during the read");
        }
        if (choice.primary()) {
            context.histories().sample(group, group.term(), askedNanos, answer.position());
        }
        long ageNanos = choice.primary() ? 0 : history.ageBoundNanos(answer.position(), askedNanos);
        Mark seen = new Mark(group.term(), answer.position(), false);
        return Future.succeededFuture(
                CallerAnswer.ran(
                        raise(seen),
                        ResultsJson.write(answer.results()),
                        choice.primary() ? CallerAnswer.PRIMARY : CallerAnswer.REPLICA,
                        false,
                        ageNanos < 0 ? -1 : ageNanos / RequestContext.NANOS_PER_MILLI));
    }

    private SessionToken raise(Mark seen) {
        SessionToken session = request.sessionOrEmpty();
        Mark before = session.mark(request.group());
        boolean settled = before != null && before.primaryOnly();
        return settled
                ? session.replace(request.group(), seen)
                : session.raise(request.group(), seen);
    }

    private Future<CallerAnswer> afterFailure(
            Throwable failure, InstancePool pool, ReadChoice choice) {
        DatabaseFailure.Kind kind = AttemptFailures.kind(failure);
        if (kind == null) {
            return Future.failedFuture(failure);
        }
        switch (kind) {
            case LOST_BEFORE_COMMIT, LOST_AFTER_COMMIT, ROLE_MISSING -> {
                if (!choice.primary()) {
                    pool.stats().avoid(EventLoop.nowNanos() + AVOID_NANOS);
                }
                return again(ResultCode.CONNECTION_LOST, failure.getMessage());
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
                    return again(ResultCode.STATEMENT_FAILED, failure.getMessage());
                }
                String state = ((DatabaseFailure) failure).sqlState();
                return Future.succeededFuture(
                        CallerAnswer.statementFailed(state, failure.getMessage()));
            }
        }
    }

    private Future<CallerAnswer> again(ResultCode late, String message) {
        return context.pause(RETRY_MILLIS, request.deadlineNanos(), late, message)
                .compose(ignored -> attempt());
    }
}
