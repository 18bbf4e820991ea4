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
    private static final long RETRY_NANOS = 200_000_000;
    private static final long SILENCE_NANOS = 1_500_000_000;

    private final EventLoop loop;
    private final FrameClient client = new FrameClient(CONNECT_TIMEOUT_MILLIS);
    private final Map<HostPort, Peer> peers = new HashMap<>();

    private static final class Peer {
        FrameConnection connection;
        boolean connecting;
        long triedNanos;
        long heardNanos;
        Frame waiting;
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
                        && now - peer.heardNanos > SILENCE_NANOS
                        && now - peer.triedNanos > SILENCE_NANOS;
        if (silent) {
            peer.connection.close();
            peer.connection = null;
        }
        if (peer.connection != null && peer.connection.isOpen()) {
            peer.connection.send(frame);
            return;
        }
        peer.waiting = frame;
        if (!peer.connecting && (peer.triedNanos == 0 || now - peer.triedNanos > RETRY_NANOS)) {
            connect(to, peer, now);
        }
    }

    /** Records that a peer has sent a message, over any connection. */
    void heard(HostPort from) {
        Peer peer = peers.get(from);
        if (peer != null) {
            peer.heardNanos = EventLoop.nowNanos();
        }
    }

    private void connect(HostPort to, Peer peer, long nowNanos) {
        peer.connecting = true;
        peer.triedNanos = nowNanos;
        client.connect(
                to.host(),
                to.port(),
                new SendOnly(),
                opened -> loop.run(() -> connected(peer, opened)));
    }

    private void connected(Peer peer, FrameConnection opened) {
        peer.connecting = false;
        peer.connection = opened;
        if (opened != null && peer.waiting != null) {
            peer.heardNanos = EventLoop.nowNanos();
            opened.send(peer.waiting);
        }
        peer.waiting = null;
    }

    /** Closes a connection on which the peer sends frames, which the protocol does not allow. */
    private static final class SendOnly implements FrameListener {
        @Override
        public void received(FrameConnection connection, Frame frame) {
            connection.close();
        }
    }
}
