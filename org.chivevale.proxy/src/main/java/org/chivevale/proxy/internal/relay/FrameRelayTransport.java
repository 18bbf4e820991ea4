package org.chivevale.proxy.internal.relay;

import java.util.function.Consumer;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.chivevale.wire.FrameClient;
import org.chivevale.wire.FrameConnection;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.proto.Frame;

/**
 * Opens links as frame connections and passes their events to the event loop.
 *
 * <p>Used on the event loop.
 */
public final class FrameRelayTransport implements RelayTransport {
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final EventLoop loop;
    private final FrameClient client = new FrameClient(CONNECT_TIMEOUT_MILLIS);

    /**
     * Creates the transport; it opens no link yet.
     *
     * @param loop the event loop on which callbacks run
     */
    public FrameRelayTransport(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void connect(
            HostPort address,
            Consumer<Frame> received,
            Runnable closed,
            Consumer<Channel> connected) {
        client.connect(
                address.host(),
                address.port(),
                new FrameListener() {
                    @Override
                    public void received(FrameConnection connection, Frame frame) {
                        loop.run(() -> received.accept(frame));
                    }

                    @Override
                    public void closed(FrameConnection connection) {
                        loop.run(closed);
                    }
                },
                opened ->
                        loop.run(
                                () ->
                                        connected.accept(
                                                opened == null ? null : new FrameChannel(opened))));
    }

    @Override
    public void close() {
        client.close();
    }

    private record FrameChannel(FrameConnection connection) implements Channel {
        @Override
        public void send(Frame frame) {
            connection.send(frame);
        }

        @Override
        public boolean isOpen() {
            return connection.isOpen();
        }

        @Override
        public void close() {
            connection.close();
        }
    }
}
