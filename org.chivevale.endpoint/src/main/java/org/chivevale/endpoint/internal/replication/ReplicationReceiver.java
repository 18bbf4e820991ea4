package org.chivevale.endpoint.internal.replication;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.chivevale.core.settings.HostPort;
import org.chivevale.endpoint.Faults;
import org.chivevale.endpoint.internal.instance.Instance;
import org.chivevale.endpoint.internal.instance.LogRecord;
import org.jboss.logging.Logger;

/**
 * Receives the log of an instance's upstream and replays it.
 *
 * <p>One thread receives records and appends them to the log, another replays them after the lag
 * that the faults set. Thread safe.
 */
public final class ReplicationReceiver implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ReplicationReceiver.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int READ_TIMEOUT_MILLIS = 1000;
    private static final long RETRY_MILLIS = 50;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Instance instance;
    private final String name;
    private final Faults faults;
    private final Thread receiver;
    private final Thread replayer;
    private volatile boolean closed;
    private volatile Socket currentSocket;

    /**
     * Starts the threads that receive and replay.
     *
     * @param instance the instance that is or may become a replica
     * @param name the endpoint's name, under which it reports to the upstream
     * @param faults the faults to simulate
     */
    public ReplicationReceiver(Instance instance, String name, Faults faults) {
        this.instance = instance;
        this.name = name;
        this.faults = faults;
        this.receiver = startThread("receive-" + instance.group(), this::receiveLoop);
        this.replayer = startThread("replay-" + instance.group(), this::replayLoop);
    }

    private static Thread startThread(String threadName, Runnable body) {
        Thread thread = new Thread(body, threadName);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Closes the connection to the former upstream after the upstream has changed. */
    public void onUpstreamChange() {
        Socket socket = currentSocket;
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                LOG.debugf("cannot close the connection to the upstream: %s", e);
            }
        }
    }

    private void receiveLoop() {
        try {
            while (!closed) {
                HostPort upstream = instance.upstream();
                if (upstream != null && !faults.isSilent()) {
                    receive(upstream);
                }
                Thread.sleep(RETRY_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void receive(HostPort upstream) throws InterruptedException {
        try (Socket socket = new Socket()) {
            currentSocket = socket;
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.connect(
                    new InetSocketAddress(upstream.host(), upstream.port()),
                    CONNECT_TIMEOUT_MILLIS);
            DataInputStream in =
                    new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            DataOutputStream out =
                    new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            sendStartup(out);
            while (!closed) {
                LogRecord record = RecordStream.read(in, LogRecord.class);
                faults.awaitNotSilent();
                if (record != null && !instance.receive(record, upstream)) {
                    return;
                }
                if (in.available() == 0) {
                    sendStatus(out);
                }
            }
        } catch (IOException e) {
            LOG.debugf(
                    "group %s: connection to upstream %s lost: %s", instance.group(), upstream, e);
        }
    }

    private void sendStartup(DataOutputStream out) throws IOException {
        byte[] group = instance.group().toString().getBytes(StandardCharsets.UTF_8);
        out.writeInt(2 * Integer.BYTES + group.length + 1);
        out.writeInt(ReplicationSender.STARTUP_CODE);
        out.write(group);
        out.writeByte(0);
        sendStatus(out);
    }

    private void sendStatus(DataOutputStream out) throws IOException {
        RecordStream.write(
                out, new ReplicaStatus(name, instance.receivedPoint(), instance.appliedPosition()));
        out.flush();
    }

    private void replayLoop() {
        try {
            while (!closed) {
                long lagNanos = faults.lagMillis() * NANOS_PER_MILLI;
                instance.awaitReplayDue(lagNanos);
                replayDueRecords(lagNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void replayDueRecords(long lagNanos) throws InterruptedException {
        try {
            while (instance.isReplayDue(lagNanos) && instance.replayNext()) {
                LOG.tracef("group %s: replayed", instance.group());
            }
        } catch (IllegalStateException e) {
            LOG.warnf("%s", e.getMessage());
            Thread.sleep(RETRY_MILLIS);
        }
    }

    @Override
    public void close() {
        closed = true;
        receiver.interrupt();
        replayer.interrupt();
        onUpstreamChange();
    }
}
