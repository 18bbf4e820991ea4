package org.chivevale.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import org.chivevale.wire.proto.Frame;
import org.junit.jupiter.api.Test;

class FrameServerTest {
    private static final String HOST = "127.0.0.1";
    private static final int TIMES = 40;

    private static final FrameListener NOBODY =
            new FrameListener() {
                @Override
                public void received(FrameConnection from, Frame frame) {}

                @Override
                public void closed(FrameConnection from) {}
            };

    @Test
    void aPortCanBeUsedAgainOnceItsServerIsClosed() throws Exception {
        FrameServer first = new FrameServer(HOST, 0, NOBODY);
        int port = first.port();
        first.close();
        for (int i = 0; i < TIMES; i++) {
            FrameServer again = new FrameServer(HOST, port, NOBODY);
            try (Socket caller = new Socket(HOST, port)) {
                assertEquals(port, caller.getPort());
                again.close();
            }
        }
    }
}
