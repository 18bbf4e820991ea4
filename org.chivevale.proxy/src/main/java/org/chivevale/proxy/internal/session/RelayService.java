package org.chivevale.proxy.internal.session;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.ArrayList;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.ProcessLifetime;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.DecisionLog;
import org.chivevale.process.EventLoop;
import org.chivevale.process.FrameServers;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.session.SessionService;
import org.chivevale.wire.FrameConnection;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.FrameServer;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.RelayAnswer;
import org.chivevale.wire.proto.RelayReply;
import org.chivevale.wire.proto.RelayRequest;
import org.jboss.logging.Logger;

/**
 * Accepts the statements that other proxies send for endpoints whose connections this proxy holds.
 *
 * <p>Does nothing for a proxy without an address for other proxies. Used on the event loop.
 */
public final class RelayService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "relay";

    /** Another process sends the priority, so the number of series is bounded. */
    private static final int MAX_PRIORITY_TAG = 9;

    private static final Logger LOG = Logger.getLogger(RelayService.class);
    private static final long TICK_MILLIS = 250;

    /** Time for other proxies to learn that this one drains before its links can close. */
    private static final long NOTICE_MILLIS = 50;

    private static final int MAX_LOG_LINES_PER_SECOND = 100;

    /** Below the size of a frame that closes its link, and with it all other statements. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private final ProxySettings settings;
    private final Directory directory;
    private final SessionPools pools;
    private final DecisionLog decisions = new DecisionLog(LOG, MAX_LOG_LINES_PER_SECOND);
    private final Map<FrameConnection, RelayHost> links = new ConcurrentHashMap<>();
    private EventLoop loop;
    private SessionEngine engine;
    private MeterRegistry registry;
    private Timer queueTime;
    private FrameServer server;
    private boolean isDraining;

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     * @param directory lease, configuration and members
     * @param pools connections to endpoints
     */
    public RelayService(ProxySettings settings, Directory directory, SessionPools pools) {
        this.settings = settings;
        this.directory = directory;
        this.pools = pools;
    }

    @Override
    public void start(Kernel kernel) {
        HostPort listen = settings.forwardListen();
        if (listen.port() == 0) {
            return;
        }
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        engine = kernel.find(SessionService.NAME, SessionService.class).engine();
        registry = kernel.find(Metrics.NAME, Metrics.class).registry();
        queueTime = registry.timer("chivevale.proxy.relay.queued");
        server = FrameServers.open(listen, new Listener());
        loop.every(TICK_MILLIS, this::tick);
    }

    /** Passes frames from the I/O thread to the event loop. */
    private final class Listener implements FrameListener {
        @Override
        public void received(FrameConnection connection, Frame frame) {
            if (frame.hasRelayRequest()) {
                loop.run(() -> receive(connection, frame));
            }
        }

        @Override
        public void closed(FrameConnection connection) {
            loop.run(
                    () -> {
                        RelayHost closed = links.remove(connection);
                        if (closed != null) {
                            closed.close();
                        }
                    });
        }
    }

    private void receive(FrameConnection connection, Frame frame) {
        if (!connection.isOpen()) {
            return;
        }
        links.computeIfAbsent(
                        connection,
                        ignored ->
                                new RelayHost(
                                        engine,
                                        directory,
                                        pools,
                                        this::record,
                                        (correlationId, answer) ->
                                                send(connection, correlationId, answer)))
                .receive(frame.getCorrelationId(), frame.getRelayRequest(), isDraining);
    }

    private static void send(FrameConnection connection, long correlationId, RelayAnswer full) {
        RelayAnswer answer =
                full.getSerializedSize() <= MAX_ANSWER_BYTES
                        ? full
                        : RelayAnswer.newBuilder()
                                .setReply(RelayReply.LOST)
                                .setDetail("the result is too large to be relayed")
                                .build();
        connection.send(
                Frame.newBuilder().setCorrelationId(correlationId).setRelayAnswer(answer).build());
    }

    private void record(RelayRequest request, RelayAnswer answer) {
        registry.counter(
                        "chivevale.proxy.relay.hosted",
                        "outcome",
                        answer.getReply().name().toLowerCase(Locale.ROOT),
                        "priority",
                        String.valueOf(Math.min(request.getPriority(), MAX_PRIORITY_TAG)))
                .increment();
        queueTime.record(answer.getQueuedMillis(), TimeUnit.MILLISECONDS);
        decisions.log(
                EventLoop.nowNanos(),
                "relayed id=%s account=%s endpoint=%s term=%d transaction=%d queued=%d outcome=%s"
                        + " %s",
                request.getRequestId(),
                request.getAccountId(),
                request.getEndpointId(),
                request.getTerm(),
                request.getTransactionId(),
                answer.getQueuedMillis(),
                answer.getReply(),
                answer.getDetail());
    }

    private void tick() {
        long now = EventLoop.nowNanos();
        new ArrayList<>(links.values()).forEach(link -> link.tick(now));
    }

    /**
     * Takes no new statements; transactions go on until the sessions of the process are drained.
     */
    @Override
    public void drain() {
        if (server != null) {
            loop.runAndWait(
                    () -> {
                        isDraining = true;
                        pools.startDraining();
                        RelayAnswer moved =
                                RelayAnswer.newBuilder().setReply(RelayReply.MOVED).build();
                        links.keySet().forEach(link -> send(link, 0, moved));
                    });
            if (!links.isEmpty()) {
                ProcessLifetime.pause(NOTICE_MILLIS);
            }
        }
    }

    @Override
    public void stop() {
        if (server != null) {
            links.keySet().forEach(FrameConnection::close);
            server.close();
        }
    }
}
