package org.chivevale.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chivevale.wire.proto.Frame;
import org.junit.jupiter.api.Test;

/**
 * Guards against a server that returns from {@code close} before its event loop has released the
 * listening socket: a restart on the same port then fails with "Address already in use".
 */
class FrameServerTest {
    private static final String HOST = "127.0.0.1";
    private static final int ATTEMPTS = 40;
    private static final int MAX_WAIT_MILLIS = 10_000;

    private static final FrameListener NO_OP_LISTENER =
            new FrameListener() {
                @Override
                public void received(FrameConnection from, Frame frame) {}

                @Override
                public void closed(FrameConnection from) {}
            };

    @Test
    void aPortCanBeReboundOnceItsServerIsClosed() throws Exception {
        FrameServer first = new FrameServer(HOST, 0, NO_OP_LISTENER);
        int port = first.port();
        first.close();
        for (int i = 0; i < ATTEMPTS; i++) {
            FrameServer restarted = new FrameServer(HOST, port, NO_OP_LISTENER);
            try (Socket client = new Socket(HOST, port)) {
                assertEquals(port, client.getPort());
                restarted.close();
            }
        }
    }

    /** Guards against a peer that takes a connection to a closed server for open. */
    @Test
    void closingAServerEndsItsConnections() throws Exception {
        for (int i = 0; i < ATTEMPTS; i++) {
            CountDownLatch received = new CountDownLatch(1);
            CountDownLatch closed = new CountDownLatch(1);
            FrameServer server = new FrameServer(HOST, 0, (from, frame) -> received.countDown());
            try (FrameClient client = new FrameClient(MAX_WAIT_MILLIS)) {
                client.connect(
                        HOST,
                        server.port(),
                        new FrameListener() {
                            @Override
                            public void received(FrameConnection from, Frame frame) {}

                            @Override
                            public void closed(FrameConnection from) {
                                closed.countDown();
                            }
                        },
                        connection -> connection.send(Frame.getDefaultInstance()));
                assertTrue(received.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS), "not received");
                server.close();
                assertTrue(closed.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS), "still open " + i);
            }
        }
    }
}
