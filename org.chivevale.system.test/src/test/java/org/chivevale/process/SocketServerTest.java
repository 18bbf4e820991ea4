package org.chivevale.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.settings.HostPort;
import org.chivevale.load.deployment.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Callers that a process has let connect must get an answer.
 *
 * <p>Guards against connections that are reset unanswered: those that the kernel completed while
 * the process was starting, and those that it completed just before the listener was closed.
 */
class SocketServerTest {
    private static final int CALLERS = 20;
    private static final byte GREETING = 'R';
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final EventLoop loop = new EventLoop();
    private final HostPort address = FreePorts.next();
    private final List<Socket> callers = new ArrayList<>();

    SocketServerTest() {
        loop.start(new Kernel());
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        loop.stop();
    }

    private void connectCallers() throws IOException {
        for (int i = 0; i < CALLERS; i++) {
            Socket caller = new Socket(address.host(), address.port());
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            callers.add(caller);
        }
    }

    private void assertAllGreeted() throws IOException {
        for (Socket caller : callers) {
            assertEquals(GREETING, caller.getInputStream().read());
        }
    }

    private static void greet(SocketChannel accepted) {
        accepted.eventLoop()
                .execute(
                        () ->
                                accepted.writeAndFlush(
                                        Unpooled.wrappedBuffer(new byte[] {GREETING})));
    }

    @Test
    void callersThatConnectBeforeTheServerStartsAreServed() throws Exception {
        ListenSocket socket = ListenSocket.bind(address);
        connectCallers();

        SocketServer server = SocketServer.start(loop, socket, SocketServerTest::greet);

        assertAllGreeted();
        server.close();
    }

    @Test
    void callersThatConnectedBeforeTheListenerClosesAreServed() throws Exception {
        SocketServer server =
                SocketServer.start(loop, ListenSocket.bind(address), SocketServerTest::greet);
        CountDownLatch connected = new CountDownLatch(1);
        loop.run(() -> awaitQuietly(connected));
        Thread closing = new Thread(server::close);
        closing.start();
        connectCallers();

        connected.countDown();
        closing.join();

        assertAllGreeted();
        assertThrows(IOException.class, () -> new Socket(address.host(), address.port()));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void anAddressInUseIsReported() {
        ListenSocket first = ListenSocket.bind(address);
        assertThrows(ChivevaleException.class, () -> ListenSocket.bind(address));
        first.close();
    }
}
