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
 * Carries steps of interactive transactions between proxies.
 *
 * <p>Invariants: a step is sent once; when its answer is lost, a commit's outcome is unknown. Used
 * on the event loop.
 */
public final class ForwardService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "forwards";

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final long TICK_MILLIS = 100;

    private final ProxySettings settings;
    private final Directory directory;
    private final TransactionService transactions;
    private final FrameClient client = new FrameClient(CONNECT_TIMEOUT_MILLIS);
    private final Map<String, FrameConnection> connections = new HashMap<>();
    private final Map<Long, Sent> sent = new HashMap<>();
    private EventLoop loop;
    private FrameServer server;
    private long correlation;

    private record Sent(
            String holder, String action, Promise<CallerAnswer> promise, long endNanos) {}

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     * @param directory knows the other proxies
     * @param transactions the transactions of this proxy
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
     * Sends a step to the proxy that holds the transaction.
     *
     * @param holder that proxy
     * @param account the client account whose key came with the request
     * @param id the transaction
     * @param action statements, commit or rollback
     * @param body the request's body
     * @return what the caller is told
     */
    public Future<CallerAnswer> forward(
            String holder, ClientAccountId account, String id, String action, Buffer body) {
        return connection(holder)
                .compose(
                        connection -> {
                            correlation++;
                            Promise<CallerAnswer> promise = Promise.promise();
                            long limitMillis = settings.timing().transactionMillis();
                            long end = EventLoop.nowNanos() + limitMillis * NANOS_PER_MILLI;
                            sent.put(correlation, new Sent(holder, action, promise, end));
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

    private Future<FrameConnection> connection(String holder) {
        FrameConnection known = connections.get(holder);
        if (known != null && known.isOpen()) {
            return Future.succeededFuture(known);
        }
        HostPort address = directory.forwardAddress(holder);
        if (address == null) {
            return Future.failedFuture(
                    new ChivevaleException(
                            ResultCode.TRANSACTION_GONE,
                            "the proxy that held the transaction is gone; it was rolled back"));
        }
        Promise<FrameConnection> promise = Promise.promise();
        client.connect(
                address.host(),
                address.port(),
                new ClientListener(holder),
                opened -> loop.run(() -> connected(holder, opened, promise)));
        return promise.future();
    }

    private void connected(
            String holder, FrameConnection opened, Promise<FrameConnection> promise) {
        if (opened == null) {
            promise.fail(
                    new ChivevaleException(
                            ResultCode.CONNECTION_LOST, "no connection to proxy " + holder));
            return;
        }
        connections.put(holder, opened);
        promise.complete(opened);
    }

    /** Takes answers of the proxy that holds transactions. */
    private final class ClientListener implements FrameListener {
        private final String holder;

        ClientListener(String holder) {
            this.holder = holder;
        }

        @Override
        public void received(FrameConnection connection, Frame frame) {
            loop.run(
                    () -> {
                        Sent one = sent.remove(frame.getCorrelationId());
                        if (one != null && frame.hasForwardAnswer()) {
                            one.promise().complete(answer(frame.getForwardAnswer()));
                        }
                    });
        }

        @Override
        public void closed(FrameConnection connection) {
            loop.run(() -> lost(holder));
        }
    }

    private static CallerAnswer answer(ForwardAnswer answer) {
        return AnswerCodec.decode(answer);
    }

    private void lost(String holder) {
        connections.remove(holder);
        Iterator<Sent> all = sent.values().iterator();
        while (all.hasNext()) {
            Sent one = all.next();
            if (one.holder().equals(holder)) {
                all.remove();
                fail(one);
            }
        }
    }

    private void expire() {
        long now = EventLoop.nowNanos();
        Iterator<Sent> all = sent.values().iterator();
        while (all.hasNext()) {
            Sent one = all.next();
            if (now - one.endNanos() >= 0) {
                all.remove();
                fail(one);
            }
        }
    }

    private static void fail(Sent one) {
        boolean commit = one.action().equals("commit");
        one.promise()
                .tryFail(
                        new ChivevaleException(
                                commit ? ResultCode.OUTCOME_UNKNOWN : ResultCode.TRANSACTION_GONE,
                                commit ? Outcome.UNKNOWN : Outcome.NOT_RUN,
                                "the connection to proxy " + one.holder() + " was lost"));
    }

    /** Takes steps for transactions that this proxy holds. */
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
        return failure instanceof ChivevaleException known
                ? CallerAnswer.failed(known)
                : CallerAnswer.failed(
                        ResultCode.INTERNAL, Outcome.UNKNOWN, String.valueOf(failure.getMessage()));
    }

    @Override
    public void stop() {
        client.close();
        server.close();
    }
}
