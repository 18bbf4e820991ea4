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
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.request.AnswerCodec;
import org.chivevale.proxy.internal.request.CallerAnswer;
import org.chivevale.proxy.internal.request.RequestReader;
import org.chivevale.wire.FrameClient;
import org.chivevale.wire.FrameConnection;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.FrameServer;
import org.chivevale.wire.proto.ForwardAnswer;
import org.chivevale.wire.proto.ForwardRequest;
import org.chivevale.wire.proto.Frame;

/**
 * Forwards steps of interactive transactions between proxies.
 *
 * <p>Invariants: a step is sent once; when the response to a commit is lost, its outcome is
 * unknown. Used on the event loop.
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
    private final FrameClient client = new FrameClient(CONNECT_TIMEOUT_MILLIS);
    private final Map<String, FrameConnection> connections = new HashMap<>();
    private final Map<Long, PendingStep> sent = new HashMap<>();
    private EventLoop loop;
    private FrameServer server;
    private long correlation;

    private record PendingStep(
            String owner, String action, Promise<CallerAnswer> promise, long endNanos) {}

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
    }

    @Override
    public void start(Kernel kernel) {
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        HostPort listen = settings.forwardListen();
        server = new FrameServer(listen.host(), listen.port(), new ServerListener());
        loop.every(TICK_MILLIS, this::expire);
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
    public Future<CallerAnswer> forward(
            String owner, ClientAccountId account, String id, String action, Buffer body) {
        return connection(owner)
                .compose(
                        connection -> {
                            correlation++;
                            Promise<CallerAnswer> promise = Promise.promise();
                            long timeoutMillis = settings.timing().transactionMillis();
                            long expiresAtNanos =
                                    EventLoop.nowNanos() + timeoutMillis * NANOS_PER_MILLI;
                            sent.put(
                                    correlation,
                                    new PendingStep(owner, action, promise, expiresAtNanos));
                            connection.send(request(correlation, account, id, action, body));
                            return promise.future();
                        });
    }

    private static Frame request(
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

    private Future<FrameConnection> connection(String owner) {
        FrameConnection known = connections.get(owner);
        if (known != null && known.isOpen()) {
            return Future.succeededFuture(known);
        }
        HostPort address = directory.forwardAddress(owner);
        if (address == null) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.TRANSACTION_GONE,
                            "the proxy that owned the transaction has left the fleet; it was rolled back"));
        }
        Promise<FrameConnection> promise = Promise.promise();
        client.connect(
                address.host(),
                address.port(),
                new ClientListener(owner),
                opened -> loop.run(() -> connected(owner, opened, promise)));
        return promise.future();
    }

    private void connected(String owner, FrameConnection opened, Promise<FrameConnection> promise) {
        if (opened == null) {
            promise.fail(
                    new ChivevaleException(
                            ResultCode.CONNECTION_LOST, "cannot connect to proxy " + owner));
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
                        PendingStep step = sent.remove(frame.getCorrelationId());
                        if (step != null && frame.hasForwardAnswer()) {
                            step.promise().complete(answer(frame.getForwardAnswer()));
                        }
                    });
        }

        @Override
        public void closed(FrameConnection connection) {
            loop.run(() -> lost(owner));
        }
    }

    private static CallerAnswer answer(ForwardAnswer message) {
        return AnswerCodec.decode(message);
    }

    private void lost(String owner) {
        connections.remove(owner);
        Iterator<PendingStep> steps = sent.values().iterator();
        while (steps.hasNext()) {
            PendingStep step = steps.next();
            if (step.owner().equals(owner)) {
                steps.remove();
                fail(step);
            }
        }
    }

    private void expire() {
        long now = EventLoop.nowNanos();
        Iterator<PendingStep> steps = sent.values().iterator();
        while (steps.hasNext()) {
            PendingStep step = steps.next();
            if (now - step.endNanos() >= 0) {
                steps.remove();
                fail(step);
            }
        }
    }

    private static void fail(PendingStep step) {
        boolean isCommit = step.action().equals("commit");
        step.promise()
                .tryFail(
                        new ChivevaleException(
                                isCommit ? ResultCode.OUTCOME_UNKNOWN : ResultCode.TRANSACTION_GONE,
                                isCommit ? Outcome.UNKNOWN : Outcome.NOT_RUN,
                                "the connection to proxy " + step.owner() + " was lost"));
    }

    /** Receives steps of transactions that this proxy owns. */
    private final class ServerListener implements FrameListener {
        @Override
        public void received(FrameConnection connection, Frame frame) {
            if (frame.hasForwardRequest()) {
                loop.run(() -> serve(connection, frame));
            }
        }
    }

    private void serve(FrameConnection connection, Frame frame) {
        ForwardRequest request = frame.getForwardRequest();
        run(request)
                .onComplete(
                        ended -> {
                            CallerAnswer answer =
                                    ended.succeeded() ? ended.result() : ofFailure(ended.cause());
                            connection.send(
                                    Frame.newBuilder()
                                            .setCorrelationId(frame.getCorrelationId())
                                            .setForwardAnswer(AnswerCodec.encode(answer))
                                            .build());
                        });
    }

    private Future<CallerAnswer> run(ForwardRequest request) {
        try {
            return transactions.step(
                    new ClientAccountId(request.getAccountId()),
                    request.getTransactionId(),
                    request.getAction(),
                    RequestReader.parse(Buffer.buffer(request.getBody().toByteArray())));
        } catch (RuntimeException e) {
            return Future.failedFuture(e);
        }
    }

    private static CallerAnswer ofFailure(Throwable failure) {
        return failure instanceof ChivevaleException rejection
                ? CallerAnswer.failed(rejection)
                : CallerAnswer.failed(
                        ResultCode.INTERNAL, Outcome.UNKNOWN, String.valueOf(failure.getMessage()));
    }

    @Override
    public void stop() {
        client.close();
        server.close();
    }
}
