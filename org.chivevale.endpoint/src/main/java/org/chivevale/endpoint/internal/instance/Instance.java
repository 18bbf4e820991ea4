package org.chivevale.endpoint.internal.instance;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Types;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.h2.tools.SimpleResultSet;
import org.jboss.logging.Logger;

/**
 * One database group on this endpoint: an embedded database, its log, and its role.
 *
 * <p>Locks: {@code stateLock} guards the database's state and position, {@code receiveLock} the
 * received records and the upstream; stateLock is acquired before receiveLock. Invariants:
 * transactions hold the write lock from their first write to their commit, so the log has the order
 * of the commits; a replica replays records in the log's order, each in one transaction, and
 * advances its position only afterwards. Thread safe.
 */
public final class Instance {
    /** Role that proxies log in with. */
    public static final String LOGIN_ROLE = "chivevale";

    static final long START_POSITION = 0x1000000L;
    private static final long RECORD_OVERHEAD_BYTES = 40;
    private static final int RECORDS_IN_MEMORY = 50_000;
    private static final LogPoint LOG_START = new LogPoint(START_POSITION, 1, "initial");
    private static final Logger LOG = Logger.getLogger(Instance.class);

    private final GroupId group;
    private final String url;
    private final LogFile logFile;
    private final Connection setupConnection;
    private final Connection replayConnection;
    private final WriteLock writeLock = new WriteLock();
    private final Object stateLock = new Object();
    private final Object receiveLock = new Object();
    private final Deque<LogRecord> recentRecords = new ArrayDeque<>();
    private final Deque<ReceivedRecord> replayQueue = new ArrayDeque<>();
    private final Map<String, ReplicaProgress> replicas = new ConcurrentHashMap<>();

    private volatile boolean primary;
    private volatile LogPoint applied;
    private volatile long receivedPosition;
    private volatile HostPort upstream;
    private boolean historyComplete = true;
    private HostPort pendingUpstream;
    private boolean upstreamChangePending;
    private RoleListener roleListener = change -> {};

    private record ReceivedRecord(LogRecord record, long atNanos) {}

    /**
     * Replication progress that a replica has reported.
     *
     * @param name the replica's name
     * @param flushed the position up to which it holds the log
     * @param replayed the position that its reads see
     */
    public record ReplicaProgress(String name, long flushed, long replayed) {}

    /** Listener for changes of the role or the upstream. */
    public interface RoleListener {
        /**
         * Handles a change; called without locks held.
         *
         * @param restarted true when open sessions must end, as they would when a server restarts
         *     to become a replica or to be restored from a base backup
         */
        void onChange(boolean restarted);
    }

    /**
     * Opens an instance and replays its log.
     *
     * @param group the group
     * @param name the embedded database's name, unique in this process
     * @param folder the directory of the log file
     * @param startAsPrimary true to start as primary when the log has no role record
     */
    public Instance(GroupId group, String name, Path folder, boolean startAsPrimary) {
        this.group = group;
        this.url =
                "jdbc:h2:mem:"
                        + name
                        + ";MODE=PostgreSQL;DATABASE_TO_LOWER=TRUE;DEFAULT_NULL_ORDERING=HIGH"
                        + ";OPTIMIZE_REUSE_RESULTS=0;LOCK_TIMEOUT=5000;DB_CLOSE_DELAY=-1"
                        + ";DB_CLOSE_ON_EXIT=FALSE";
        this.logFile = new LogFile(folder.resolve(group + ".log"));
        try {
            setupConnection = connect();
            replayConnection = connect();
            replayConnection.setAutoCommit(false);
            SystemFunctions.createFunctions(this, name, setupConnection);
            replayLogFile(startAsPrimary);
        } catch (SQLException e) {
            throw new IllegalStateException("instance " + group + ": " + e.getMessage(), e);
        }
    }

    private void replayLogFile(boolean startAsPrimary) throws SQLException {
        primary = startAsPrimary;
        applied = LOG_START;
        List<LogRecord> records = logFile.open();
        for (LogRecord record : records) {
            if (record.kind() == LogRecord.Kind.ROLE) {
                primary = record.primary();
            } else {
                replay(record);
            }
            applied = record.point();
            addRecentRecord(record);
        }
        receivedPosition = applied.position();
    }

    /**
     * Opens an embedded connection with the login role.
     *
     * @return a new connection
     * @throws SQLException when the engine rejects the connection
     */
    public Connection connect() throws SQLException {
        return DriverManager.getConnection(url, LOGIN_ROLE, "");
    }

    /**
     * Returns the group.
     *
     * @return its id
     */
    public GroupId group() {
        return group;
    }

    /**
     * Sets the listener for changes of the role or the upstream.
     *
     * @param listener replaces the listener that was set before
     */
    public void setRoleListener(RoleListener listener) {
        roleListener = listener;
    }

    // ---- writes at the primary ----

    /**
     * Returns the lock that writing transactions hold.
     *
     * @return the instance's only write lock
     */
    public WriteLock writeLock() {
        return writeLock;
    }

    /**
     * Commits a transaction and appends it to the log; the caller holds the write lock.
     *
     * @param connection the embedded connection with the uncommitted changes
     * @param statements the transaction's writing statements
     * @throws SQLException when the commit fails or the instance is no longer primary
     */
    public void commit(Connection connection, List<LoggedStatement> statements)
            throws SQLException {
        synchronized (stateLock) {
            if (!primary) {
                throw new SQLException("cannot commit: the server is in recovery", "25006");
            }
            connection.commit();
            long size = RECORD_OVERHEAD_BYTES;
            for (LoggedStatement statement : statements) {
                size += statement.sql().length();
            }
            LogPoint next =
                    new LogPoint(applied.position() + size, applied.timeline(), applied.origin());
            LogRecord record = LogRecord.transaction(next, List.copyOf(statements));
            logFile.append(record);
            applied = next;
            receivedPosition = next.position();
            addRecentRecord(record);
            stateLock.notifyAll();
        }
    }

    private void addRecentRecord(LogRecord record) {
        if (record.kind() == LogRecord.Kind.BASE) {
            recentRecords.clear();
            historyComplete = false;
        }
        recentRecords.addLast(record);
        if (recentRecords.size() > RECORDS_IN_MEMORY) {
            recentRecords.removeFirst();
            historyComplete = false;
        }
    }

    // ---- replication at the primary ----

    /**
     * Finds the records that a replica needs next.
     *
     * @param known the log point up to which the replica holds the log
     * @return the records after it; empty when there are none; null when the replica needs a base
     *     backup
     */
    public List<LogRecord> recordsAfter(LogPoint known) {
        synchronized (stateLock) {
            if (known.equals(applied)) {
                return List.of();
            }
            Deque<LogRecord> after = new ArrayDeque<>();
            Iterator<LogRecord> newestFirst = recentRecords.descendingIterator();
            while (newestFirst.hasNext()) {
                LogRecord record = newestFirst.next();
                if (record.point().equals(known)) {
                    return new ArrayList<>(after);
                }
                after.addFirst(record);
            }
            return historyComplete && known.equals(LOG_START) ? new ArrayList<>(after) : null;
        }
    }

    /**
     * Waits until the log has records after a log point.
     *
     * @param known the log point
     * @param timeoutMillis the maximum time to wait
     * @throws InterruptedException when the thread is interrupted
     */
    public void awaitRecordsAfter(LogPoint known, long timeoutMillis) throws InterruptedException {
        synchronized (stateLock) {
            if (known.equals(applied)) {
                stateLock.wait(timeoutMillis);
            }
        }
    }

    /**
     * Creates a base backup; no write commits meanwhile.
     *
     * @return the backup with its log point
     * @throws SQLException when the engine fails
     */
    public LogRecord createBaseBackup() throws SQLException {
        synchronized (stateLock) {
            List<LoggedStatement> statements = new ArrayList<>();
            try (Connection connection = connect();
                    ResultSet rows =
                            connection
                                    .createStatement()
                                    .executeQuery("SCRIPT NOPASSWORDS NOSETTINGS")) {
                while (rows.next()) {
                    statements.add(LoggedStatement.plain(rows.getString(1)));
                }
            }
            return LogRecord.base(applied, statements);
        }
    }

    /**
     * Records the progress that a replica has reported.
     *
     * @param progress the replica's progress
     */
    public void updateReplicaProgress(ReplicaProgress progress) {
        replicas.put(progress.name(), progress);
    }

    /**
     * Removes a replica that is no longer connected.
     *
     * @param name the replica's name
     */
    public void removeReplica(String name) {
        replicas.remove(name);
    }

    // ---- replication at a replica ----

    /**
     * Returns the log point up to which records were received.
     *
     * @return the log point to continue from
     */
    public LogPoint receivedPoint() {
        synchronized (receiveLock) {
            ReceivedRecord last = replayQueue.peekLast();
            return last == null ? applied : last.record().point();
        }
    }

    /**
     * Appends a received record to the log and queues it for replay.
     *
     * @param record the next record
     * @param from the upstream that sent it
     * @return false when the record was discarded, since the upstream has changed meanwhile
     */
    public boolean receive(LogRecord record, HostPort from) {
        synchronized (receiveLock) {
            if (primary || !from.equals(upstream)) {
                return false;
            }
            if (record.kind() == LogRecord.Kind.BASE) {
                replayQueue.clear();
                logFile.replaceContents(record);
                LOG.infof("group %s: restoring from a base backup", group);
            } else {
                logFile.append(record);
            }
            replayQueue.addLast(new ReceivedRecord(record, System.nanoTime()));
            receivedPosition = record.position();
            receiveLock.notifyAll();
        }
        if (record.kind() == LogRecord.Kind.BASE) {
            roleListener.onChange(true);
        }
        return true;
    }

    /**
     * Replays the oldest record of the replay queue.
     *
     * @return false when the queue is empty
     * @throws IllegalStateException when the replay fails; the record stays in the queue
     */
    public boolean replayNext() {
        synchronized (stateLock) {
            LogRecord next = oldestReceived();
            if (next == null) {
                return false;
            }
            try {
                replay(next);
            } catch (SQLException e) {
                throw new IllegalStateException(
                        "group " + group + ": replay at " + next.position() + " failed: " + e, e);
            }
            synchronized (receiveLock) {
                applied = next.point();
                boolean unchanged =
                        !replayQueue.isEmpty() && replayQueue.peekFirst().record() == next;
                if (unchanged) {
                    replayQueue.removeFirst();
                }
            }
            addRecentRecord(next);
            stateLock.notifyAll();
            return true;
        }
    }

    private LogRecord oldestReceived() {
        synchronized (receiveLock) {
            ReceivedRecord first = replayQueue.peekFirst();
            return first == null ? null : first.record();
        }
    }

    /**
     * Waits until the replay of the oldest queued record is due.
     *
     * @param lagNanos the delay between the receipt and the replay of a record
     * @throws InterruptedException when the thread is interrupted
     */
    public void awaitReplayDue(long lagNanos) throws InterruptedException {
        synchronized (receiveLock) {
            while (replayQueue.isEmpty()) {
                receiveLock.wait();
            }
            long dueNanos = replayQueue.peekFirst().atNanos() + lagNanos;
            long waitNanos = dueNanos - System.nanoTime();
            if (waitNanos > 0) {
                TimeUnit.NANOSECONDS.timedWait(receiveLock, waitNanos);
            }
        }
    }

    /**
     * Tells whether the replay of the oldest queued record is due.
     *
     * @param lagNanos the delay between the receipt and the replay of a record
     * @return false when the queue is empty or the delay has not passed
     */
    public boolean isReplayDue(long lagNanos) {
        synchronized (receiveLock) {
            ReceivedRecord first = replayQueue.peekFirst();
            return first != null && System.nanoTime() - first.atNanos() >= lagNanos;
        }
    }

    private void replay(LogRecord record) throws SQLException {
        if (record.kind() == LogRecord.Kind.ROLE) {
            return;
        }
        if (record.kind() == LogRecord.Kind.BASE) {
            RoleSwitch.setRole(replayConnection, LOGIN_ROLE);
            replayConnection.createStatement().execute("DROP ALL OBJECTS");
        }
        SystemFunctions.setReplayedTimeline(record.timeline());
        try {
            for (LoggedStatement statement : record.statements()) {
                RoleSwitch.setRole(replayConnection, LOGIN_ROLE);
                RoleSwitch.setSchema(
                        replayConnection,
                        statement.schema() == null ? "public" : statement.schema());
                if (statement.role() != null) {
                    RoleSwitch.setRole(replayConnection, statement.role());
                }
                StatementRunner.run(replayConnection, statement);
            }
            replayConnection.commit();
        } catch (SQLException e) {
            replayConnection.rollback();
            throw e;
        } finally {
            SystemFunctions.setReplayedTimeline(null);
        }
    }

    // ---- role ----

    /**
     * Promotes this instance to primary of a new timeline; has no effect on a primary.
     *
     * @return true
     */
    boolean promote() {
        synchronized (stateLock) {
            if (primary) {
                return true;
            }
            synchronized (receiveLock) {
                upstream = null;
            }
            while (replayNext()) {
                LOG.debugf("group %s: replayed before promotion", group);
            }
            primary = true;
            String origin = UUID.randomUUID().toString();
            applied = new LogPoint(applied.position(), applied.timeline() + 1, origin);
            LogRecord record = LogRecord.role(applied, true);
            logFile.append(record);
            addRecentRecord(record);
            stateLock.notifyAll();
            LOG.infof("group %s: promoted, timeline %d", group, applied.timeline());
        }
        roleListener.onChange(false);
        return true;
    }

    /**
     * Sets the upstream that takes effect with the next reload of the settings.
     *
     * @param conninfo a value of PostgreSQL's {@code primary_conninfo}; empty for no upstream
     */
    public void setPrimaryConninfo(String conninfo) {
        synchronized (stateLock) {
            pendingUpstream = Conninfo.parse(conninfo);
            upstreamChangePending = true;
        }
    }

    /**
     * Applies the pending settings; a primary that gets an upstream becomes a replica.
     *
     * @return true
     */
    boolean reloadSettings() {
        boolean demoted;
        synchronized (stateLock) {
            if (!upstreamChangePending) {
                return true;
            }
            upstreamChangePending = false;
            demoted = primary && pendingUpstream != null;
            boolean unchanged = !demoted && (primary || Objects.equals(upstream, pendingUpstream));
            if (unchanged) {
                return true;
            }
            synchronized (receiveLock) {
                upstream = pendingUpstream;
                if (demoted) {
                    primary = false;
                    logFile.append(LogRecord.role(applied, false));
                }
            }
            if (demoted) {
                replicas.clear();
                LOG.infof("group %s: demoted, replicating from %s", group, upstream);
            }
            stateLock.notifyAll();
        }
        roleListener.onChange(demoted);
        return true;
    }

    /**
     * Returns the server that this instance replicates from.
     *
     * @return null for a primary and for a replica that was told to stop replicating
     */
    public HostPort upstream() {
        return upstream;
    }

    /**
     * Tells whether this instance is the primary.
     *
     * @return false for a replica
     */
    public boolean isPrimary() {
        return primary;
    }

    /**
     * Returns the timeline of the newest replayed record.
     *
     * @return 1 or higher
     */
    public long timeline() {
        return applied.timeline();
    }

    /**
     * Returns the position that reads see.
     *
     * @return a log position
     */
    public long appliedPosition() {
        synchronized (stateLock) {
            return applied.position();
        }
    }

    /**
     * Returns the position up to which the log is held, replayed or not.
     *
     * @return a log position
     */
    public long receivedPosition() {
        return Math.max(receivedPosition, applied.position());
    }

    /**
     * Lists the connected replicas as {@code pg_stat_replication} does.
     *
     * @return a result set in memory
     */
    ResultSet replicationStatistics() {
        SimpleResultSet rows = new SimpleResultSet();
        rows.addColumn("application_name", Types.VARCHAR, 0, 0);
        rows.addColumn("state", Types.VARCHAR, 0, 0);
        rows.addColumn("flush_lsn", Types.VARCHAR, 0, 0);
        rows.addColumn("replay_lsn", Types.VARCHAR, 0, 0);
        for (ReplicaProgress progress : replicas.values()) {
            rows.addRow(
                    progress.name(),
                    "streaming",
                    SystemFunctions.formatLsn(progress.flushed()),
                    SystemFunctions.formatLsn(progress.replayed()));
        }
        return rows;
    }
}
