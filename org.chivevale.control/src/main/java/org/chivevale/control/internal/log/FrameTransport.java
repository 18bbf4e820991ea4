package org.chivevale.control.internal.log;

import java.util.HashMap;
import java.util.Map;
import org.chivevale.consensus.raft.RaftTransport;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.chivevale.wire.FrameClient;
import org.chivevale.wire.FrameConnection;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.RaftMessage;

/**
 * Sends messages of the log over one connection to each other control process.
 *
 * <p>Connections are one-way: peers answer over their own. If a peer has been silent for a while,
 * its connection is replaced, since a broken connection may not be reported. Used on the event
 * loop.
 */
final class FrameTransport implements RaftTransport {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final long RECONNECT_DELAY_NANOS = 200_000_000;
    private static final long PEER_SILENCE_NANOS = 1_500_000_000;

    private final EventLoop loop;
    private final FrameClient client = new FrameClient(CONNECT_TIMEOUT_MILLIS);
    private final Map<HostPort, Peer> peers = new HashMap<>();

    private static final class Peer {
        FrameConnection connection;
        boolean connecting;
        long lastConnectNanos;
        long lastReceivedNanos;
        Frame pendingFrame;

        /** True before the first attempt, and once the peer is known to be up. */
        boolean mayConnectAtOnce = true;

        boolean isConnected() {
            return connection != null && connection.isOpen();
        }
    }

    FrameTransport(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void send(HostPort to, RaftMessage message) {
        Frame frame = Frame.newBuilder().setRaftMessage(message).build();
        Peer peer = peers.computeIfAbsent(to, key -> new Peer());
        long now = EventLoop.nowNanos();
        boolean silent =
                peer.connection != null
                        && now - peer.lastReceivedNanos > PEER_SILENCE_NANOS
                        && now - peer.lastConnectNanos > PEER_SILENCE_NANOS;
        if (silent) {
            peer.connection.close();
            peer.connection = null;
        }
        if (peer.isConnected()) {
            peer.connection.send(frame);
            return;
        }
        peer.pendingFrame = frame;
        boolean mayConnect =
                peer.mayConnectAtOnce || now - peer.lastConnectNanos > RECONNECT_DELAY_NANOS;
        if (!peer.connecting && mayConnect) {
            connect(to, peer, now);
        }
    }

    /**
     * Records that a peer has sent a message, over any connection.
     *
     * <p>A peer that was unreachable is up then, so the next message connects to it without delay.
     */
    void recordReceived(HostPort from) {
        Peer peer = peers.get(from);
        if (peer == null) {
            return;
        }
        peer.lastReceivedNanos = EventLoop.nowNanos();
        if (!peer.isConnected() && !peer.connecting) {
            peer.mayConnectAtOnce = true;
        }
    }

    /** Closes all connections; nothing is sent afterwards. */
    void close() {
        client.close();
    }

    /** Returns whether an attempt to connect to a peer is in progress. */
    boolean isConnecting(HostPort to) {
        Peer peer = peers.get(to);
        return peer != null && peer.connecting;
    }

    private void connect(HostPort to, Peer peer, long nowNanos) {
        peer.connecting = true;
        peer.mayConnectAtOnce = false;
        peer.lastConnectNanos = nowNanos;
        client.connect(
                to.host(),
                to.port(),
                new SendOnly(),
                opened -> loop.run(() -> onConnected(peer, opened)));
    }

    private void onConnected(Peer peer, FrameConnection opened) {
        peer.connecting = false;
        peer.connection = opened;
        if (opened != null && peer.pendingFrame != null) {
            peer.lastReceivedNanos = EventLoop.nowNanos();
            opened.send(peer.pendingFrame);
        }
        peer.pendingFrame = null;
    }

    /** Closes a connection on which the peer sends frames, which the protocol does not allow. */
    private static final class SendOnly implements FrameListener {
        @Override
        public void received(FrameConnection connection, Frame frame) {
            connection.close();
        }
    }
}
