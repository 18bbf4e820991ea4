package org.chivevale.endpoint.internal.replication;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.sql.SQLException;
import java.util.List;
import org.chivevale.endpoint.Faults;
import org.chivevale.endpoint.internal.instance.Instance;
import org.chivevale.endpoint.internal.instance.LogPoint;
import org.chivevale.endpoint.internal.instance.LogRecord;

/**
 * Streams the log of a primary to one replica.
 *
 * <p>A message is a record, or JSON null as a heartbeat. A separate thread reads the replica's
 * status messages. Used by one thread.
 */
public final class ReplicationSender {
    /** Startup code that distinguishes a replica from a client. */
    public static final int STARTUP_CODE = 0x43484956;

    private static final long HEARTBEAT_MILLIS = 100;

    private final Instance instance;
    private final Faults faults;
    private final DataInputStream in;
    private final DataOutputStream out;
    private volatile boolean ended;

    /**
     * Creates a sender for an accepted connection.
     *
     * @param instance the primary
     * @param faults the faults to simulate
     * @param in the status messages of the replica
     * @param out the records and heartbeats for the replica
     */
    public ReplicationSender(Instance instance, Faults faults, InputStream in, OutputStream out) {
        this.instance = instance;
        this.faults = faults;
        this.in = new DataInputStream(in);
        this.out = new DataOutputStream(new BufferedOutputStream(out));
    }

    /**
     * Sends records until the connection is lost or the instance is no longer primary.
     *
     * @throws IOException when the connection is lost
     * @throws InterruptedException when the thread is interrupted
     */
    public void run() throws IOException, InterruptedException {
        ReplicaStatus firstStatus = RecordStream.read(in, ReplicaStatus.class);
        Thread reader =
                new Thread(() -> readStatuses(firstStatus.name()), "replica-" + firstStatus.name());
        reader.setDaemon(true);
        reader.start();
        LogPoint lastSent = firstStatus.received();
        while (!ended && instance.isPrimary()) {
            faults.awaitNotSilent();
            lastSent = sendRecordsAfter(lastSent);
            out.flush();
            instance.awaitRecordsAfter(lastSent, HEARTBEAT_MILLIS);
        }
    }

    private LogPoint sendRecordsAfter(LogPoint sent) throws IOException {
        List<LogRecord> records = instance.recordsAfter(sent);
        if (records == null) {
            records = List.of(createBaseBackup());
        }
        LogPoint last = sent;
        for (LogRecord record : records) {
            RecordStream.write(out, record);
            last = record.point();
        }
        if (records.isEmpty()) {
            RecordStream.write(out, null);
        }
        return last;
    }

    private LogRecord createBaseBackup() throws IOException {
        try {
            return instance.createBaseBackup();
        } catch (SQLException e) {
            throw new IOException("cannot create a base backup", e);
        }
    }

    private void readStatuses(String name) {
        try {
            while (!ended) {
                ReplicaStatus status = RecordStream.read(in, ReplicaStatus.class);
                faults.awaitNotSilent();
                instance.updateReplicaProgress(
                        new Instance.ReplicaProgress(
                                name, status.received().position(), status.replayed()));
            }
        } catch (IOException e) {
            instance.removeReplica(name);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ended = true;
    }
}
