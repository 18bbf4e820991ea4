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
 * Sends the log of a primary to one replica.
 *
 * <p>A message is a record, or JSON null as a heartbeat. The replica's statuses are read by a
 * thread of its own. Used by one thread.
 */
public final class ReplicationSender {
    /** Start-up code that tells a replica from a client. */
    public static final int START_CODE = 0x43484956;

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
     * @param faults what to misbehave in
     * @param in the replica's statuses
     * @param out records for the replica
     */
    public ReplicationSender(Instance instance, Faults faults, InputStream in, OutputStream out) {
        this.instance = instance;
        this.faults = faults;
        this.in = new DataInputStream(in);
        this.out = new DataOutputStream(new BufferedOutputStream(out));
    }

    /**
     * Sends until the connection or the role ends.
     *
     * @throws IOException when the connection is lost
     * @throws InterruptedException when the thread is interrupted
     */
    public void run() throws IOException, InterruptedException {
        ReplicaStatus hello = RecordStream.read(in, ReplicaStatus.class);
        Thread reader = new Thread(() -> readStatuses(hello.name()), "replica-" + hello.name());
        reader.setDaemon(true);
        reader.start();
        LogPoint known = hello.received();
        while (!ended && instance.isPrimary()) {
            faults.awaitAudible();
            known = sendAfter(known);
            out.flush();
            instance.awaitAfter(known, HEARTBEAT_MILLIS);
        }
    }

    private LogPoint sendAfter(LogPoint known) throws IOException {
        List<LogRecord> records = instance.recordsAfter(known);
        if (records == null) {
            records = List.of(base());
        }
        LogPoint last = known;
        for (LogRecord record : records) {
            RecordStream.write(out, record);
            last = record.point();
        }
        if (records.isEmpty()) {
            RecordStream.write(out, null);
        }
        return last;
    }

    private LogRecord base() throws IOException {
        try {
            return instance.baseCopy();
        } catch (SQLException e) {
            throw new IOException("base copy failed", e);
        }
    }

    private void readStatuses(String name) {
        try {
            while (!ended) {
                ReplicaStatus status = RecordStream.read(in, ReplicaStatus.class);
                faults.awaitAudible();
                instance.replicaProgress(
                        new Instance.ReplicaProgress(
                                name, status.received().position(), status.replayed()));
            }
        } catch (IOException e) {
            instance.replicaGone(name);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ended = true;
    }
}
