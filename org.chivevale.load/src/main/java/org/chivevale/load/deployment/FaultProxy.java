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

/** A TCP proxy that injects faults between two processes. Thread safe. */
public final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;

    /** After this the far side of a silent connection notices that the near one has left. */
    private static final int KEEPALIVE_MILLIS = 2000;

    private final HostPort target;
    private final HostPort listen;
    private final ServerSocket server;
    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
    private volatile boolean refuseNew;
    private volatile boolean silentNew;
    private volatile int delayMillis;
    private volatile boolean closed;
    private volatile int resetAnswerAfterBytes = -1;

    /** One connection through the proxy. */
    private final class Pair {
        final Socket near;
        final Socket far;
        volatile boolean silent;
        volatile int answered;

        Pair(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void close(boolean reset) {
            pairs.remove(this);
            closeQuietly(near, reset);
            closeQuietly(far, false);
        }
    }

    /**
     * Starts to listen at a free port.
     *
     * @param target where connections go on to
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
     * Names the address to use in place of the target's.
     *
     * @return where it listens
     */
    public HostPort address() {
        return listen;
    }

    /**
     * Closes all connections and refuses new ones, or takes them again.
     *
     * @param cut true to refuse
     */
    public void cut(boolean cut) {
        refuseNew = cut;
        if (cut) {
            pairs.forEach(pair -> pair.close(true));
        }
    }

    /** Lets open connections go silent for good; new ones work. */
    public void silenceOpen() {
        pairs.forEach(pair -> pair.silent = true);
    }

    /**
     * Lets open and new connections be silent, or lets new ones work again.
     *
     * @param silent true for silence
     */
    public void silence(boolean silent) {
        silentNew = silent;
        if (silent) {
            silenceOpen();
        } else {
            pairs.forEach(pair -> pair.close(false));
        }
    }

    /**
     * Delays what passes.
     *
     * @param millis how long, both ways
     */
    public void delay(int millis) {
        delayMillis = millis;
    }

    /**
     * Resets each connection once so many more bytes of answers have passed.
     *
     * @param bytes how many; -1 for never
     */
    public void resetAnswersAfter(int bytes) {
        pairs.forEach(pair -> pair.answered = 0);
        resetAnswerAfterBytes = bytes;
    }

    /**
     * Counts connections.
     *
     * @return those open now
     */
    public int openConnections() {
        return pairs.size();
    }

    private static void start(Runnable body) {
        Thread thread = new Thread(body, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket near = server.accept();
                if (refuseNew) {
                    closeQuietly(near, true);
                    continue;
                }
                start(() -> connect(near));
            } catch (IOException e) {
                if (!closed) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }

    private void connect(Socket near) {
        try {
            Socket far = new Socket(target.host(), target.port());
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Pair pair = new Pair(near, far);
            pair.silent = silentNew;
            pairs.add(pair);
            start(() -> pump(pair, near, far, false));
            start(() -> pump(pair, far, near, true));
        } catch (IOException e) {
            closeQuietly(near, true);
        }
    }

    private static void closeQuietly(Socket socket, boolean reset) {
        try {
            if (reset && !socket.isClosed()) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        } catch (IOException e) {
            // The other thread of the pair has closed it meanwhile, which is what was wanted.
            assert socket.isClosed();
        }
    }

    private void pump(Pair pair, Socket from, Socket to, boolean answers) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int read = in.read(buffer);
            while (read >= 0) {
                if (delayMillis > 0) {
                    Thread.sleep(delayMillis);
                }
                if (!pair.silent) {
                    if (answers && mustReset(pair, read)) {
                        pair.close(true);
                        return;
                    }
                    out.write(buffer, 0, read);
                }
                read = in.read(buffer);
            }
            if (pair.silent) {
                Thread.sleep(KEEPALIVE_MILLIS);
            }
            pair.close(false);
        } catch (IOException e) {
            pair.close(true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean mustReset(Pair pair, int read) {
        pair.answered += read;
        return resetAnswerAfterBytes >= 0 && pair.answered > resetAnswerAfterBytes;
    }

    @Override
    public void close() {
        closed = true;
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        pairs.forEach(pair -> pair.close(false));
    }
}
