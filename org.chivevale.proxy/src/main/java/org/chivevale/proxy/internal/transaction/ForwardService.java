package org.chivevale.proxy.internal.transaction;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.chivevale.process.FrameServers;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.fleet.RegionRules;
import org.chivevale.proxy.internal.request.CallerResponse;
import org.chivevale.proxy.internal.request.ForwardAnswerCodec;
import org.chivevale.proxy.internal.request.RequestParser;
import org.chivevale.wire.FrameClient;
import org.chivevale.wire.FrameConnection;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.FrameServer;
import org.chivevale.wire.proto.ForwardRequest;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.ProxyMember;

/**
 * Forwards steps of interactive transactions between proxies.
 *
 * <p>Invariants: a step is sent once; when the response to a commit is lost, its outcome is
 * unknown; a step is sent only to a proxy in the caller's region or in one that its client account
 * permits. Used on the event loop.
 */
public final class ForwardService implements Service {
    /** Service name in the kernel. */
    public static final String NAME = "forwards";

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final long TICK_MILLIS = 100;

    private final ProxySettings settings;
    private final Directory directory;
    private final TransactionService transactions;
    private final RegionRules regions;
    private final FrameClient client = new FrameClient(CONNECT_TIMEOUT_MILLIS);
    private final Map<String, FrameConnection> connections = new HashMap<>();
    private final Map<Long, PendingStep> pendingSteps = new HashMap<>();
    private EventLoop loop;
    private FrameServer server;
    private long lastCorrelationId;

    private record PendingStep(
            FrameConnection connection,
            String owner,
            String action,
            Promise<CallerResponse> promise,
            long expiresAtNanos) {}

    /**
     * Prepares the service; it accepts forwarded steps after {@link #start}.
     *
     * @param settings the process's settings
     * @param directory the addresses of the other proxies
     * @param transactions the transactions that this proxy owns
     */
    public ForwardService(
            ProxySettings settings, Directory directory, TransactionService transactions) {
        this.settings = settings;
        this.directory = directory;
        this.transactions = transactions;
        this.regions = new RegionRules(settings, directory);
    }

    @Override
    public void start(Kernel kernel) {
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        HostPort listen = settings.forwardListen();
        server = FrameServers.open(listen, new ServerListener());
        loop.every(TICK_MILLIS, this::expirePendingSteps);
    }

    /**
     * Forwards a step to the proxy that owns the transaction.
     *
     * @param owner the id of that proxy
     * @param account the client account that the request's key belongs to
     * @param id the transaction's id
     * @param action statements, commit or rollback
     * @param body the request's body
     * @return the owner's response
     */
    public Future<CallerResponse> forward(
            String owner, ClientAccountId account, String id, String action, Buffer body) {
        ChivevaleException excluded = findRegionExclusion(owner, account, action);
        if (excluded != null) {
            return Future.failedFuture(excluded);
        }
        return connect(owner, outcomeWithoutResponse(action))
                .compose(
                        connection -> {
                            lastCorrelationId++;
                            Promise<CallerResponse> promise = Promise.promise();
                            long timeoutMillis = settings.timing().transactionMillis();
                            long expiresAtNanos =
                                    EventLoop.nowNanos() + timeoutMillis * NANOS_PER_MILLI;
                            pendingSteps.put(
                                    lastCorrelationId,
                                    new PendingStep(
                                            connection, owner, action, promise, expiresAtNanos));
                            connection.send(toFrame(lastCorrelationId, account, id, action, body));
                            return promise.future();
                        });
    }

    /** Returns the failure of a step whose text may not be sent to its owner, or null. */
    private ChivevaleException findRegionExclusion(
            String owner, ClientAccountId account, String action) {
        ProxyMember member = directory.proxies().get(owner);
        if (member == null || regions.mayForwardTo(regions.allowed(account), member)) {
            return null;
        }
        return new ChivevaleException(
                ResultCode.REGION_NOT_ALLOWED,
                outcomeWithoutResponse(action),
                "proxy "
                        + owner
                        + " in data centre "
                        + member.getDataCenter()
                        + " is outside the regions of client account "
                        + account);
    }

    private static Frame toFrame(
            long correlationId, ClientAccountId account, String id, String action, Buffer body) {
        return Frame.newBuilder()
                .setCorrelationId(correlationId)
                .setForwardRequest(
                        ForwardRequest.newBuilder()
                                .setAccountId(account.value())
                                .setTransactionId(id)
                                .setAction(action)
                                .setBody(ByteString.copyFrom(body.getBytes())))
                .build();
    }

    /** Returns what is known of a step without a response; an earlier commit may have run. */
    private static Outcome outcomeWithoutResponse(String action) {
        return action.equals(TransactionService.COMMIT) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    private Future<FrameConnection> connect(String owner, Outcome outcome) {
        FrameConnection existing = connections.get(owner);
        if (existing != null && existing.isOpen()) {
            return Future.succeededFuture(existing);
        }
        HostPort address = directory.forwardAddress(owner);
        if (address == null) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.TRANSACTION_GONE,
                            outcome,
                            "the proxy that owned the transaction has left the fleet"));
        }
        Promise<FrameConnection> promise = Promise.promise();
        client.connect(
                address.host(),
                address.port(),
                new ClientListener(owner),
                opened -> loop.run(() -> onConnected(owner, opened, outcome, promise)));
        return promise.future();
    }

    private void onConnected(
            String owner,
            FrameConnection opened,
            Outcome outcome,
            Promise<FrameConnection> promise) {
        if (opened == null) {
            promise.fail(
                    new ChivevaleException(
                            ResultCode.CONNECTION_LOST,
                            outcome,
                            "cannot connect to proxy " + owner));
            return;
        }
        connections.put(owner, opened);
        promise.complete(opened);
    }

    /** Receives responses from the proxy that owns the transactions. */
    private final class ClientListener implements FrameListener {
        private final String owner;

        ClientListener(String owner) {
            this.owner = owner;
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            loop.run(
                    () -> {
                        PendingStep step = pendingSteps.remove(frame.getCorrelationId());
                        if (step != null) {
                            completeStep(step, frame);
                        }
                    });
        }

        @Override
        public void closed(FrameConnection connection) {
            loop.run(() -> onConnectionLost(owner, connection));
        }
    }

    /** Completes a step by its answer; one that cannot be read counts as lost. */
    private static void completeStep(PendingStep step, Frame frame) {
        CallerResponse response;
        try {
            response =
                    frame.hasForwardAnswer()
                            ? ForwardAnswerCodec.decode(frame.getForwardAnswer())
                            : null;
        } catch (IllegalArgumentException e) {
            response = null;
        }
        if (response == null) {
            failStep(step);
        } else {
            step.promise().complete(response);
        }
    }

    private void onConnectionLost(String owner, FrameConnection closed) {
        connections.remove(owner, closed);
        Iterator<PendingStep> steps = pendingSteps.values().iterator();
        while (steps.hasNext()) {
            PendingStep step = steps.next();
            if (step.connection() == closed) {
                steps.remove();
                failStep(step);
            }
        }
    }

    private void expirePendingSteps() {
        long now = EventLoop.nowNanos();
        Iterator<PendingStep> steps = pendingSteps.values().iterator();
        while (steps.hasNext()) {
            PendingStep step = steps.next();
            if (now - step.expiresAtNanos() >= 0) {
                steps.remove();
                failStep(step);
            }
        }
    }

    private static void failStep(PendingStep step) {
        Outcome outcome = outcomeWithoutResponse(step.action());
        step.promise()
                .tryFail(
                        new ChivevaleException(
                                outcome == Outcome.UNKNOWN
                                        ? ResultCode.OUTCOME_UNKNOWN
                                        : ResultCode.TRANSACTION_GONE,
                                outcome,
                                "proxy " + step.owner() + " did not answer the step"));
    }

    /** Receives steps of transactions that this proxy owns. */
    private final class ServerListener implements FrameListener {
        @Override
        public void received(FrameConnection connection, Frame frame) {
            if (frame.hasForwardRequest()) {
                loop.run(() -> handleForwardRequest(connection, frame));
            }
        }
    }

    private void handleForwardRequest(FrameConnection connection, Frame frame) {
        ForwardRequest request = frame.getForwardRequest();
        executeStep(request)
                .onComplete(
                        ended -> {
                            CallerResponse response =
                                    ended.succeeded()
                                            ? ended.result()
                                            : failureResponse(ended.cause());
                            connection.send(
                                    Frame.newBuilder()
                                            .setCorrelationId(frame.getCorrelationId())
                                            .setForwardAnswer(ForwardAnswerCodec.encode(response))
                                            .build());
                        });
    }

    private Future<CallerResponse> executeStep(ForwardRequest request) {
        try {
            return transactions.executeStep(
                    new ClientAccountId(request.getAccountId()),
                    request.getTransactionId(),
                    request.getAction(),
                    RequestParser.parseObject(Buffer.buffer(request.getBody().toByteArray())));
        } catch (RuntimeException e) {
            return Future.failedFuture(e);
        }
    }

    private static CallerResponse failureResponse(Throwable failure) {
        return failure instanceof ChivevaleException rejection
                ? CallerResponse.failure(rejection)
                : CallerResponse.failure(
                        ResultCode.INTERNAL, Outcome.UNKNOWN, String.valueOf(failure.getMessage()));
    }

    @Override
    public void stop() {
        client.close();
        server.close();
    }
}
