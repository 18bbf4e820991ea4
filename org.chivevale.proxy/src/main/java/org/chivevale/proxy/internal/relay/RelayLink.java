package org.chivevale.proxy.internal.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.RelayEffect;
import org.chivevale.wire.proto.RelayRequest;
import org.jboss.logging.Logger;

/**
 * The link of this proxy to one connection host.
 *
 * <p>Invariants: each request gets one outcome; it is reported as not sent only if no byte of it
 * was passed to the link. A request is written once: when the link closes it is not sent again. A
 * host that announces its end gets no new work on this link, only the statements of transactions.
 * Used on the event loop.
 */
final class RelayLink {
    private static final Logger LOG = Logger.getLogger(RelayLink.class);
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** How long a host is avoided that closed its link, cannot be reached or stays silent. */
    private static final long AVOID_NANOS = 1_000 * NANOS_PER_MILLI;

    /** A host that sends no frame for this long while a statement waits there is silent. */
    private static final long SILENCE_NANOS = 400 * NANOS_PER_MILLI;

    /** Silence after which the host is asked for a sign of life, while a statement waits there. */
    private static final long PING_NANOS = 150 * NANOS_PER_MILLI;

    /** Correlation id of a ping, above those of all requests. */
    private static final long PING_ID = Long.MAX_VALUE;

    private static final int MAX_PENDING = 400;

    private final HostPort address;
    private final RelayTransport transport;
    private final LongSupplier clock;
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private RelayTransport.Channel channel;
    private boolean isConnecting;
    private boolean isShutDown;
    private boolean isLeaving;
    private int openTransactions;
    private long generation;
    private long lastFrameNanos;
    private long lastPingNanos;
    private long avoidUntilNanos;

    private static final class Pending {
        final RelayRequest request;
        final Consumer<RelayOutcome> done;
        boolean isWritten;
        long writtenAtNanos;

        Pending(RelayRequest request, Consumer<RelayOutcome> done) {
            this.request = request;
            this.done = done;
        }
    }

    RelayLink(HostPort address, RelayTransport transport, LongSupplier clock) {
        this.address = address;
        this.transport = transport;
        this.clock = clock;
        lastFrameNanos = clock.getAsLong();
        avoidUntilNanos = lastFrameNanos;
    }

    boolean isUsable() {
        return clock.getAsLong() - avoidUntilNanos >= 0 && pending.size() < MAX_PENDING;
    }

    /** Returns a number that changes whenever the link is opened; 0 while it is closed. */
    long generation() {
        return channel != null && channel.isOpen() ? generation : 0;
    }

    /** Tells whether a statement or a transaction depends on the link. */
    boolean isNeeded() {
        return !pending.isEmpty() || openTransactions > 0;
    }

    void addTransactions(int difference) {
        openTransactions += difference;
    }

    void send(long correlationId, RelayRequest request, Consumer<RelayOutcome> done) {
        if (channel != null && !channel.isOpen()) {
            onClosed(generation);
        }
        boolean isNewWork = request.getTransactionId() == 0 || isBegin(request);
        if (isShutDown || isLeaving && isNewWork) {
            done.accept(RelayOutcome.NOT_SENT);
            return;
        }
        Pending added = new Pending(request, done);
        pending.put(correlationId, added);
        if (channel != null) {
            write(correlationId, added);
        } else if (!isConnecting) {
            connect();
        }
    }

    private static boolean isBegin(RelayRequest request) {
        return request.getEffect() == RelayEffect.EFFECT_BEGIN;
    }

    private void write(long correlationId, Pending added) {
        added.isWritten = true;
        added.writtenAtNanos = clock.getAsLong();
        channel.send(
                Frame.newBuilder()
                        .setCorrelationId(correlationId)
                        .setRelayRequest(added.request)
                        .build());
    }

    private void connect() {
        isConnecting = true;
        generation++;
        long opening = generation;
        transport.connect(
                address,
                this::onFrame,
                () -> onClosed(opening),
                opened -> onConnected(opening, opened));
    }

    private void onConnected(long opening, RelayTransport.Channel opened) {
        isConnecting = false;
        if (opened == null) {
            LOG.warnf("cannot connect to connection host %s", address);
            avoid();
            failAll();
            return;
        }
        if (isShutDown || !opened.isOpen()) {
            opened.close();
            avoid();
            failAll();
            return;
        }
        channel = opened;
        isLeaving = false;
        lastFrameNanos = clock.getAsLong();
        new LinkedHashMap<>(pending)
                .forEach(
                        (correlationId, waiting) -> {
                            if (!waiting.isWritten) {
                                write(correlationId, waiting);
                            }
                        });
    }

    private void onClosed(long closed) {
        if (closed != generation || channel == null) {
            return;
        }
        LOG.infof("the link to connection host %s has closed", address);
        channel = null;
        isLeaving = false;
        avoid();
        failAll();
    }

    /**
     * Looks for a silent host while statements wait there. A host that only has a long queue
     * answers pings, so it is not mistaken for a frozen one.
     */
    void tick() {
        if (pending.isEmpty() || channel == null || !channel.isOpen()) {
            return;
        }
        long now = clock.getAsLong();
        long silenceNanos = silenceNanos(pending.values().iterator().next().writtenAtNanos);
        if (silenceNanos > PING_NANOS && now - lastPingNanos > PING_NANOS) {
            lastPingNanos = now;
            channel.send(
                    Frame.newBuilder()
                            .setCorrelationId(PING_ID)
                            .setRelayRequest(RelayRequest.newBuilder().setClose(true))
                            .build());
        }
        if (silenceNanos > SILENCE_NANOS && isUsable()) {
            LOG.warnf("connection host %s is silent", address);
            avoid();
        }
    }

    private void failAll() {
        List<Pending> failed = new ArrayList<>(pending.values());
        pending.clear();
        failed.forEach(
                each ->
                        each.done.accept(
                                each.isWritten ? RelayOutcome.LOST : RelayOutcome.NOT_SENT));
    }

    private void onFrame(Frame frame) {
        lastFrameNanos = clock.getAsLong();
        if (!frame.hasRelayAnswer()) {
            return;
        }
        if (frame.getCorrelationId() == 0) {
            LOG.infof("connection host %s takes no new statements", address);
            isLeaving = true;
            avoid();
            return;
        }
        Pending answered = pending.remove(frame.getCorrelationId());
        if (answered != null) {
            answered.done.accept(RelayOutcome.answered(frame.getRelayAnswer()));
        }
    }

    /**
     * Gives up a request without an answer.
     *
     * @return what is known of it; null when it has its outcome already
     */
    RelayOutcome abandon(long correlationId, RelayRequest closing) {
        Pending abandoned = pending.remove(correlationId);
        if (abandoned == null) {
            return null;
        }
        if (!abandoned.isWritten) {
            return RelayOutcome.NOT_SENT;
        }
        if (silenceNanos(abandoned.writtenAtNanos) > SILENCE_NANOS && isUsable()) {
            LOG.warnf("connection host %s is silent", address);
            avoid();
        }
        close(closing);
        return RelayOutcome.LOST;
    }

    /** Returns for how long no frame has arrived, counted from a time at the earliest. */
    long silenceNanos(long sinceNanos) {
        long now = clock.getAsLong();
        return Math.min(now - sinceNanos, now - lastFrameNanos);
    }

    /** Tells the host that a transaction or a statement has ended; it answers nothing. */
    void close(RelayRequest closing) {
        if (channel != null && channel.isOpen()) {
            channel.send(Frame.newBuilder().setRelayRequest(closing).build());
        }
    }

    /** Avoids the host for some time. */
    void avoid() {
        avoidUntilNanos = clock.getAsLong() + AVOID_NANOS;
    }

    long avoidUntilNanos() {
        return avoidUntilNanos;
    }

    /** Closes the link; requests that were written may have run. */
    void shutDown() {
        isShutDown = true;
        if (channel != null) {
            channel.close();
        }
        failAll();
    }
}
