package org.chivevale.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import org.chivevale.wire.proto.Frame;
import org.junit.jupiter.api.Test;

/**
 * Guards against a server that returns from {@code close} before its event loop has released the
 * listening socket: a restart on the same port then fails with "Address already in use".
 */
class FrameServerTest {
    private static final String HOST = "127.0.0.1";
    private static final int ATTEMPTS = 40;

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
}
