package org.chivevale.proxy.internal.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Group;
import org.chivevale.core.config.ReadPolicy;
import org.chivevale.core.config.Route;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.interactive.Statement.Prepared;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.relay.RelayCodec;
import org.chivevale.wire.proto.RelayAnswer;
import org.chivevale.wire.proto.RelayReply;
import org.chivevale.wire.proto.RelayRequest;

/**
 * Runs the statements of one other proxy over the connections that this proxy holds.
 *
 * <p>Invariants: each request gets one answer; nothing runs unless this proxy's own lease and
 * configuration allow it; a transaction stays on one connection and is rolled back when its link
 * closes, when its sender ends it, or when it has been idle for too long. Used on the event loop.
 */
final class RelayHost {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final String ANONYMOUS = "anonymous";
    private static final String NOT_UNDERSTOOD = "the request is not understood";

    /** Time beyond the idle limit, as the sender rolls back by its own clock first. */
    private static final long IDLE_MARGIN_NANOS = 1_000 * NANOS_PER_MILLI;

    private final SessionEngine engine;
    private final Directory directory;
    private final SessionPools pools;
    private final Log log;
    private final BiConsumer<Long, RelayAnswer> answers;
    private final Map<Long, HostedTransaction> transactions = new HashMap<>();
    private final Map<Long, StatementExecution> running = new HashMap<>();
    private final Set<Long> endedBeforeBegin = new HashSet<>();
    private long lastCorrelationId;
    private boolean isClosed;

    /** Receives the end of each relayed statement. */
    interface Log {
        /**
         * Records an answer.
         *
         * @param request the request
         * @param answer the answer to it
         */
        void record(RelayRequest request, RelayAnswer answer);
    }

    /**
     * Creates the host side of a link.
     *
     * @param engine executes statements
     * @param directory this proxy's lease and configuration
     * @param pools this proxy's connections
     * @param log receives each answer
     * @param answers sends an answer with the correlation id of its request
     */
    RelayHost(
            SessionEngine engine,
            Directory directory,
            SessionPools pools,
            Log log,
            BiConsumer<Long, RelayAnswer> answers) {
        this.engine = engine;
        this.directory = directory;
        this.pools = pools;
        this.log = log;
        this.answers = answers;
    }

    /**
     * Handles a request; {@code isDraining} rejects what would begin here. A closing message with a
     * correlation id is a ping, which is answered at once.
     */
    void receive(long correlationId, RelayRequest request, boolean isDraining) {
        if (request.getClose()) {
            end(request);
            if (correlationId != 0) {
                answers.accept(
                        correlationId,
                        RelayAnswer.newBuilder().setReply(RelayReply.SUCCESS).build());
            }
            return;
        }
        Effect effect = RelayCodec.decode(request.getEffect());
        Statement statement = RelayCodec.decode(request.getStatement());
        if (correlationId <= lastCorrelationId) {
            // The first copy of the request is answered; an answer to the second could be wrong.
            return;
        }
        lastCorrelationId = correlationId;
        if (effect == null || statement == null || !isWellFormed(request)) {
            reject(correlationId, request, RelayReply.MOVED, NOT_UNDERSTOOD);
        } else if (effect == Effect.BEGIN
                || effect == Effect.SINGLE_READ
                || effect == Effect.SINGLE_WRITE) {
            start(correlationId, request, statement, effect, isDraining);
        } else {
            continueTransaction(correlationId, request, statement, effect);
        }
    }

    private static boolean isWellFormed(RelayRequest request) {
        try {
            GroupId.parse(request.getGroupId());
            new EndpointId(request.getEndpointId());
            new ClientAccountId(request.getAccountId());
            return true;
        } catch (IllegalArgumentException | ChivevaleException e) {
            return false;
        }
    }

    private void start(
            long correlationId,
            RelayRequest request,
            Statement statement,
            Effect effect,
            boolean isDraining) {
        GroupId groupId = GroupId.parse(request.getGroupId());
        EndpointId endpoint = new EndpointId(request.getEndpointId());
        Configuration configuration = directory.configuration();
        EndpointPool pool = pools.findOwnPool(groupId, endpoint);
        if (isDraining || !engine.isLeased()) {
            reject(correlationId, request, RelayReply.MOVED, "the host drains or has no lease");
            return;
        }
        if (pool == null || !isKnown(new ClientAccountId(request.getAccountId()), groupId)) {
            reject(correlationId, request, RelayReply.MOVED, "no host of the endpoint or account");
            return;
        }
        if (isEvacuated(groupId, endpoint)) {
            reject(correlationId, request, RelayReply.MOVED, "the data centre is evacuated");
            return;
        }
        Group group = configuration.group(groupId);
        boolean isPrimary = request.getTerm() != 0;
        boolean needsPrimary =
                effect == Effect.SINGLE_WRITE
                        || effect == Effect.BEGIN
                                && statement instanceof Statement.Begin begin
                                && !begin.readOnly();
        boolean isCurrent =
                group.term() == request.getTerm()
                        && endpoint.equals(group.primary())
                        && !directory.isFencing(groupId);
        if (needsPrimary && !isPrimary || isPrimary && !isCurrent) {
            reject(
                    correlationId,
                    request,
                    RelayReply.NOT_PRIMARY,
                    "the host does not know the endpoint as primary in this term");
            return;
        }
        TermPosition required =
                request.getRequiredTerm() == 0 && request.getRequiredNumber() == 0
                        ? null
                        : new TermPosition(request.getRequiredTerm(), request.getRequiredNumber());
        Placement placement = new Placement(pool, group, isPrimary, required);
        boolean isBegin = effect == Effect.BEGIN;
        run(
                correlationId,
                request,
                listener ->
                        StatementExecution.atEndpoint(
                                engine,
                                operation(request, statement, effect),
                                context(request),
                                placement,
                                isBegin,
                                listener),
                outcome -> {
                    if (isBegin) {
                        keep(request, outcome);
                    }
                });
    }

    private boolean isEvacuated(GroupId group, EndpointId endpoint) {
        return directory.members(group).stream()
                .filter(member -> member.getEndpointId().equals(endpoint.value()))
                .anyMatch(member -> directory.configuration().isEvacuated(member.getDataCenter()));
    }

    private boolean isKnown(ClientAccountId account, GroupId group) {
        Configuration configuration = directory.configuration();
        boolean isAnonymous =
                account.value().equals(ANONYMOUS)
                        && configuration.routes().stream()
                                .anyMatch(
                                        route ->
                                                route.anonymous()
                                                        && route.database()
                                                                .equals(group.database()));
        return isAnonymous || configuration.account(account) != null;
    }

    private static Operation operation(RelayRequest request, Statement statement, Effect effect) {
        Prepared prepared = RelayCodec.decodePrepared(request.getStatement());
        return new Operation(
                request.getRequestId(), statement, prepared, effect, request.getTerm() != 0);
    }

    /** Returns a session whose statement timeout is the time that the sender has left. */
    private static SessionContext context(RelayRequest request) {
        Route route =
                new Route(
                        "relayed",
                        "",
                        "",
                        GroupId.parse(request.getGroupId()).database(),
                        ReadPolicy.PRIMARY,
                        request.getRemainingMillis(),
                        request.getRemainingMillis(),
                        request.getPriority(),
                        0,
                        false,
                        AllowedRegions.ANY);
        return new SessionContext(
                new ClientAccountId(request.getAccountId()),
                route,
                Map.copyOf(request.getSettingsMap()),
                TermPosition.NONE,
                () -> false);
    }

    /** Creates an execution that reports to a listener. */
    private interface Starter {
        StatementExecution create(StatementListener listener);
    }

    private void run(
            long correlationId, RelayRequest request, Starter starter, StatementListener onEnd) {
        StatementExecution execution =
                starter.create(
                        outcome -> {
                            running.remove(correlationId);
                            onEnd.onComplete(outcome);
                            answer(correlationId, request, toAnswer(outcome));
                        });
        running.put(correlationId, execution);
        execution.start();
    }

    private void keep(RelayRequest request, StatementOutcome outcome) {
        boolean isEnded = endedBeforeBegin.remove(request.getTransactionId()) || isClosed;
        if (outcome.connection() == null) {
            return;
        }
        HostedTransaction begun =
                new HostedTransaction(
                        outcome.connection(), outcome.placement(), request.getSettingsMap());
        if (isEnded) {
            begun.rollBack();
        } else {
            transactions.put(request.getTransactionId(), begun);
        }
    }

    private void continueTransaction(
            long correlationId, RelayRequest request, Statement statement, Effect effect) {
        HostedTransaction transaction = transactions.get(request.getTransactionId());
        if (transaction == null) {
            reject(correlationId, request, RelayReply.REFUSED, "no such transaction at the host");
            return;
        }
        if (transaction.isBusy()) {
            reject(correlationId, request, RelayReply.LOST, "a statement is in flight");
            return;
        }
        run(
                correlationId,
                request,
                listener ->
                        StatementExecution.onConnection(
                                engine,
                                operation(request, statement, effect),
                                context(request),
                                transaction.begin(request.getSettingsMap()),
                                transaction.placement(),
                                listener),
                outcome -> {
                    boolean isOver = transaction.end(outcome, effect) || isClosed;
                    if (isOver) {
                        transactions.remove(request.getTransactionId(), transaction);
                        transaction.rollBack();
                    }
                });
    }

    private void end(RelayRequest request) {
        StatementExecution execution = running.get(request.getClosedCorrelationId());
        HostedTransaction transaction = transactions.get(request.getTransactionId());
        if (transaction != null && transaction.isBusy()) {
            transaction.abandon();
        } else if (transaction != null) {
            transactions.remove(request.getTransactionId());
            transaction.rollBack();
        } else if (execution != null && request.getTransactionId() != 0) {
            endedBeforeBegin.add(request.getTransactionId());
        }
        if (execution != null) {
            execution.cancelUnlessSent();
        }
    }

    private static RelayAnswer toAnswer(StatementOutcome outcome) {
        long queuedMillis = outcome.queuedNanos() / NANOS_PER_MILLI;
        if (outcome.reply() != null) {
            return RelayCodec.encode(outcome.reply(), true, queuedMillis);
        }
        Reply reply =
                switch (outcome.error()) {
                    case BUSY -> Reply.BUSY;
                    case NOT_PRIMARY -> Reply.NOT_PRIMARY;
                    case ABORTED -> Reply.REFUSED;
                    default -> Reply.LOST;
                };
        return RelayCodec.encode(
                EndpointReply.withoutResponse(reply, outcome.detail()), false, queuedMillis);
    }

    private void reject(long correlationId, RelayRequest request, RelayReply reply, String detail) {
        answer(
                correlationId,
                request,
                RelayAnswer.newBuilder().setReply(reply).setDetail(detail).build());
    }

    private void answer(long correlationId, RelayRequest request, RelayAnswer answer) {
        log.record(request, answer);
        if (!isClosed) {
            answers.accept(correlationId, answer);
        }
    }

    /** Rolls back the transactions that have been idle for longer than sessions may be. */
    void tick(long nowNanos) {
        long limitNanos =
                directory.configuration().sessionLimits().transactionIdleMillis() * NANOS_PER_MILLI
                        + IDLE_MARGIN_NANOS;
        for (Map.Entry<Long, HostedTransaction> entry : new ArrayList<>(transactions.entrySet())) {
            HostedTransaction transaction = entry.getValue();
            if (!transaction.isBusy() && transaction.idleNanos(nowNanos) > limitNanos) {
                transactions.remove(entry.getKey());
                transaction.rollBack();
            }
        }
    }

    /** Ends all work of the link, after it has closed. */
    void close() {
        isClosed = true;
        List<HostedTransaction> open = new ArrayList<>(transactions.values());
        for (HostedTransaction transaction : open) {
            if (transaction.isBusy()) {
                transaction.abandon();
            } else {
                transaction.rollBack();
            }
        }
        transactions.values().removeIf(transaction -> !transaction.isBusy());
        new ArrayList<>(running.values()).forEach(StatementExecution::cancelUnlessSent);
    }
}
