package org.chivevale.load.deployment;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.chivevale.core.settings.HostPort;

/** A TCP proxy that injects network faults between two processes. Thread safe. */
public final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;

    /**
     * Delay until the peer of a silent connection sees its end, as with a TCP keepalive timeout.
     */
    private static final int KEEPALIVE_MILLIS = 2000;

    private final HostPort target;
    private final HostPort listen;
    private final ServerSocket server;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean rejectNew;
    private volatile boolean silenceNew;
    private volatile int delayMillis;
    private volatile boolean closed;
    private volatile int resetAfterResponseBytes = -1;

    /** One connection through the proxy. */
    private final class Connection {
        final Socket client;
        final Socket upstream;
        volatile boolean silent;
        volatile int responseBytes;

        Connection(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
        }

        void close(boolean reset) {
            connections.remove(this);
            closeQuietly(client, reset);
            closeQuietly(upstream, false);
        }
    }

    /**
     * Binds a free port and starts to forward connections.
     *
     * @param target address that connections are forwarded to
     */
    public FaultProxy(HostPort target) {
        this.target = target;
        this.listen = FreePorts.next();
        try {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(listen.host(), listen.port()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start(this::accept);
    }

    /**
     * Returns the address to use instead of the target's.
     *
     * @return the bound address on loopback
     */
    public HostPort address() {
        return listen;
    }

    /**
     * Resets open connections and rejects new ones, or lets new connections work again.
     *
     * @param cut true to reset and reject connections, false to accept new ones
     */
    public void cut(boolean cut) {
        rejectNew = cut;
        if (cut) {
            connections.forEach(connection -> connection.close(true));
        }
    }

    /** Drops all further data of the open connections, without closing them; new ones work. */
    public void silenceOpen() {
        connections.forEach(connection -> connection.silent = true);
    }

    /**
     * Drops the data of open and new connections without closing them, or ends this fault.
     *
     * @param silent true to drop the data; false to close all connections and let new ones work
     */
    public void silence(boolean silent) {
        silenceNew = silent;
        if (silent) {
            silenceOpen();
        } else {
            connections.forEach(connection -> connection.close(false));
        }
    }

    /**
     * Delays data in both directions.
     *
     * @param millis delay of each block of data; 0 for none
     */
    public void delay(int millis) {
        delayMillis = millis;
    }

    /**
     * Resets each connection after a number of further response bytes.
     *
     * @param bytes response bytes that are still forwarded; -1 for no reset
     */
    public void resetAnswersAfter(int bytes) {
        connections.forEach(connection -> connection.responseBytes = 0);
        resetAfterResponseBytes = bytes;
    }

    /**
     * Counts the open connections.
     *
     * @return connections that are open now
     */
    public int openConnections() {
        return connections.size();
    }

    private static void start(Runnable body) {
        Thread thread = new Thread(body, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket client = server.accept();
                if (rejectNew) {
                    closeQuietly(client, true);
                    continue;
                }
                start(() -> connect(client));
            } catch (IOException e) {
                if (!closed) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }

    private void connect(Socket client) {
        try {
            Socket upstream = new Socket(target.host(), target.port());
            client.setTcpNoDelay(true);
            upstream.setTcpNoDelay(true);
            Connection connection = new Connection(client, upstream);
            connection.silent = silenceNew;
            connections.add(connection);
            start(() -> pump(connection, client, upstream, false));
            start(() -> pump(connection, upstream, client, true));
        } catch (IOException e) {
            closeQuietly(client, true);
        }
    }

    private static void closeQuietly(Socket socket, boolean reset) {
        try {
            if (reset && !socket.isClosed()) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        } catch (IOException e) {
            // The connection's other thread has already closed the socket.
            assert socket.isClosed();
        }
    }

    private void pump(Connection connection, Socket from, Socket to, boolean fromUpstream) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int read = in.read(buffer);
            while (read >= 0) {
                if (delayMillis > 0) {
                    Thread.sleep(delayMillis);
                }
                if (!connection.silent) {
                    if (fromUpstream && isResetDue(connection, read)) {
                        connection.close(true);
                        return;
                    }
                    out.write(buffer, 0, read);
                }
                read = in.read(buffer);
            }
            if (connection.silent) {
                Thread.sleep(KEEPALIVE_MILLIS);
            }
            connection.close(false);
        } catch (IOException e) {
            connection.close(true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isResetDue(Connection connection, int read) {
        connection.responseBytes += read;
        return resetAfterResponseBytes >= 0 && connection.responseBytes > resetAfterResponseBytes;
    }

    @Override
    public void close() {
        closed = true;
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        connections.forEach(connection -> connection.close(false));
    }
}
