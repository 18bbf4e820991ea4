package org.chivevale.proxy.internal.session;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.Statement;
import org.chivevale.database.MemberTarget;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.database.session.SessionConnection;
import org.chivevale.database.session.TransactionState;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.internal.relay.RelayCodec;
import org.chivevale.proxy.internal.relay.RelayHostAddress;
import org.chivevale.proxy.internal.relay.RelayLinks;
import org.chivevale.proxy.internal.relay.RelayOutcome;
import org.chivevale.wire.proto.RelayReply;
import org.chivevale.wire.proto.RelayRequest;

/**
 * Runs the statements of one operation over the connections that another proxy holds.
 *
 * <p>Invariants: one statement is in flight at a time and gets one reply; a statement goes to the
 * next host only if the one before certainly has not run it; the statements of a transaction stay
 * on the link on which it began, since its host rolls it back when that link closes. Used on the
 * event loop.
 */
final class RelayedConnection implements SessionConnection {
    private static final long NO_TRANSACTION = 0;

    /**
     * What all relayed connections share.
     *
     * @param links the links to hosts
     * @param registry receives counts and times
     * @param onHostFailed runs when a host takes no statements, so that newer hosts are fetched
     */
    record Relay(RelayLinks links, MeterRegistry registry, Runnable onHostFailed) {}

    private final Relay relay;
    private final List<RelayHostAddress> hosts;
    private final MemberTarget target;
    private final ClientAccountId account;
    private int hostIndex;
    private long transactionId = NO_TRANSACTION;
    private boolean hasBegun;
    private long linkGeneration;
    private long correlationId;
    private long sentAtNanos;
    private Consumer<EndpointReply> inFlight;
    private boolean isFromEndpoint;
    private boolean allHostsFailed;
    private boolean anyHostAnswered;
    private boolean isClosed;

    /**
     * Creates the connection; it sends nothing yet.
     *
     * @param relay what all relayed connections share
     * @param hosts the endpoint's hosts, the preferred one first; empty when none may receive the
     *     statements
     * @param target the endpoint
     * @param account the client account on whose behalf statements run
     */
    RelayedConnection(
            Relay relay,
            List<RelayHostAddress> hosts,
            MemberTarget target,
            ClientAccountId account) {
        this.relay = relay;
        this.hosts = hosts;
        this.target = target;
        this.account = account;
    }

    /** Sends a statement together with the session's settings and its prepared statement. */
    void execute(Attempt attempt, Consumer<EndpointReply> done) {
        isFromEndpoint = false;
        allHostsFailed = false;
        anyHostAnswered = false;
        if (isClosed || hosts.isEmpty()) {
            String detail =
                    hosts.isEmpty()
                            ? "no connection host is in a permitted region"
                            : "the connection has ended";
            done.accept(EndpointReply.withoutResponse(Reply.UNREACHABLE, detail));
            return;
        }
        boolean isPinned = transactionId != NO_TRANSACTION && attempt.effect() != Effect.BEGIN;
        if (isPinned && relay.links().generation(host()) != linkGeneration) {
            isClosed = true;
            done.accept(
                    EndpointReply.withoutResponse(
                            Reply.REFUSED, "the link to the connection host was lost"));
            return;
        }
        if (attempt.effect() == Effect.BEGIN) {
            transactionId = relay.links().nextId();
        }
        inFlight = done;
        sentAtNanos = EventLoop.nowNanos();
        send(attempt, isPinned);
    }

    private RelayHostAddress host() {
        return hosts.get(hostIndex);
    }

    private void send(Attempt attempt, boolean isPinned) {
        correlationId = relay.links().nextId();
        long sent = correlationId;
        relay.links()
                .send(
                        host(),
                        sent,
                        request(attempt),
                        outcome -> {
                            if (sent == correlationId && inFlight != null) {
                                onOutcome(attempt, isPinned, outcome);
                            }
                        });
    }

    private RelayRequest request(Attempt attempt) {
        RelayRequest.Builder request =
                RelayRequest.newBuilder()
                        .setTransactionId(transactionId)
                        .setGroupId(target.group().toString())
                        .setEndpointId(target.endpoint().value())
                        .setTerm(attempt.primaryTerm())
                        .setAccountId(account.value())
                        .setPriority(attempt.priority())
                        .setRemainingMillis(attempt.remainingMillis())
                        .setRequestId(attempt.id())
                        .setStatement(RelayCodec.encode(attempt.statement(), attempt.prepared()))
                        .putAllSettings(attempt.settings())
                        .setEffect(RelayCodec.encode(attempt.effect()));
        TermPosition required = attempt.requiredPosition();
        if (required != null) {
            request.setRequiredTerm(required.term()).setRequiredNumber(required.number());
        }
        return request.build();
    }

    private void onOutcome(Attempt attempt, boolean isPinned, RelayOutcome outcome) {
        switch (outcome.kind()) {
            case LOST -> {
                isClosed = true;
                reply("lost", Reply.LOST, "the link to the connection host was lost");
            }
            case NOT_SENT -> tryNextHost(attempt, isPinned, "unreachable");
            default -> {
                anyHostAnswered = true;
                if (outcome.answer().getReply() == RelayReply.MOVED) {
                    tryNextHost(attempt, isPinned, "moved");
                    return;
                }
                isFromEndpoint = outcome.answer().getFromEndpoint();
                linkGeneration = relay.links().generation(host());
                EndpointReply reply = RelayCodec.decode(outcome.answer());
                if (attempt.effect() == Effect.BEGIN && reply.reply() == Reply.SUCCESS) {
                    hasBegun = true;
                    relay.links().onTransactionBegun(host());
                } else if (hasEndedTransaction(attempt.effect(), reply)) {
                    forgetTransaction();
                }
                relay.registry()
                        .timer("chivevale.proxy.relay.round.trip")
                        .record(EventLoop.nowNanos() - sentAtNanos, TimeUnit.NANOSECONDS);
                count(reply.reply().name().toLowerCase(Locale.ROOT));
                complete(reply);
            }
        }
    }

    private void forgetTransaction() {
        if (hasBegun) {
            relay.links().onTransactionEnded(host());
        }
        hasBegun = false;
        transactionId = NO_TRANSACTION;
    }

    private static boolean hasEndedTransaction(Effect effect, EndpointReply reply) {
        boolean isSuccess = reply.reply() == Reply.SUCCESS;
        return switch (effect) {
            case BEGIN -> !isSuccess;
            case COMMIT, COMMIT_OF_READS ->
                    isSuccess && reply.transaction() == TransactionState.NONE;
            default -> false;
        };
    }

    private void tryNextHost(Attempt attempt, boolean isPinned, String outcome) {
        relay.onHostFailed().run();
        boolean hasNext = !isPinned && hostIndex + 1 < hosts.size();
        if (hasNext) {
            count(outcome);
            hostIndex++;
            send(attempt, false);
            return;
        }
        allHostsFailed = !anyHostAnswered && !isPinned && hosts.size() > 1;
        isClosed = true;
        reply(outcome, Reply.UNREACHABLE, "no connection host takes the statement: " + outcome);
    }

    private void reply(String outcome, Reply reply, String detail) {
        count(outcome);
        complete(EndpointReply.withoutResponse(reply, detail));
    }

    private void count(String outcome) {
        relay.registry()
                .counter("chivevale.proxy.relay.statements", "outcome", outcome)
                .increment();
    }

    private void complete(EndpointReply reply) {
        Consumer<EndpointReply> done = inFlight;
        inFlight = null;
        done.accept(reply);
    }

    /** Tells whether the last reply says something about the endpoint, not only about the host. */
    boolean isFromEndpoint() {
        return isFromEndpoint;
    }

    /** Tells whether the last statement found several hosts and none that could be reached. */
    boolean haveAllHostsFailed() {
        return allHostsFailed;
    }

    /** Returns the host that runs the statements, for the log. */
    String hostId() {
        return hosts.isEmpty() ? "" : host().proxyId();
    }

    /** Returns for how long the host has sent nothing since the statement was sent. */
    long silenceNanos() {
        return hosts.isEmpty() ? 0 : relay.links().silenceNanos(host(), sentAtNanos);
    }

    /** Rolls back; the host needs no answer, as it also rolls back when the link closes. */
    @Override
    public void execute(
            String id, Statement statement, TermPosition since, Consumer<EndpointReply> done) {
        if (!(statement instanceof Statement.Rollback)) {
            throw new IllegalArgumentException("only rollbacks are relayed without a session");
        }
        close();
        done.accept(
                new EndpointReply(Reply.SUCCESS, List.of(), "", "", TransactionState.NONE, null));
    }

    @Override
    public boolean usable() {
        return !isClosed;
    }

    @Override
    public void close() {
        if (inFlight != null) {
            isClosed = true;
            long abandoned = correlationId;
            RelayOutcome outcome = relay.links().abandon(host(), abandoned, closing(abandoned));
            forgetTransaction();
            boolean isLost = outcome == null || outcome.kind() != RelayOutcome.Kind.NOT_SENT;
            reply(
                    isLost ? "lost" : "unreachable",
                    isLost ? Reply.LOST : Reply.UNREACHABLE,
                    "closed by the proxy");
        } else if (transactionId != NO_TRANSACTION) {
            relay.links().close(host(), closing(0));
        }
        forgetTransaction();
        isClosed = true;
    }

    private RelayRequest closing(long closedCorrelationId) {
        return RelayRequest.newBuilder()
                .setClose(true)
                .setTransactionId(transactionId)
                .setClosedCorrelationId(closedCorrelationId)
                .build();
    }
}
