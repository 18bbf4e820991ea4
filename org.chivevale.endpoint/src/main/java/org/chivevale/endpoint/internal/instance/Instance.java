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
 * <p>Locks: {@code monitor} covers the database's state and position, {@code inbox} what was
 * received and from whom; monitor comes before inbox. Invariants: writes hold the write lock from
 * their first statement to their commit, so the log's order is the order of commits; a replica
 * applies records in the log's order, each in one transaction, and moves its position only
 * afterwards. Thread safe.
 */
public final class Instance {
    /** Name of the role that proxies log in with. */
    public static final String LOGIN_ROLE = "chivevale";

    static final long START_POSITION = 0x1000000L;
    private static final long RECORD_OVERHEAD_BYTES = 40;
    private static final int RECORDS_IN_MEMORY = 50_000;
    private static final LogPoint BEGINNING = new LogPoint(START_POSITION, 1, "initial");
    private static final Logger LOG = Logger.getLogger(Instance.class);

    private final GroupId group;
    private final String url;
    private final LogFile file;
    private final Connection keeper;
    private final Connection applier;
    private final WriteLock writeLock = new WriteLock();
    private final Object monitor = new Object();
    private final Object inbox = new Object();
    private final Deque<LogRecord> recent = new ArrayDeque<>();
    private final Deque<Received> received = new ArrayDeque<>();
    private final Map<String, ReplicaProgress> replicas = new ConcurrentHashMap<>();

    private volatile boolean primary;
    private volatile LogPoint applied;
    private volatile long receivedPosition;
    private volatile HostPort upstream;
    private boolean historyComplete = true;
    private HostPort pendingUpstream;
    private boolean upstreamPending;
    private RoleListener listener = change -> {};

    private record Received(LogRecord record, long atNanos) {}

    /**
     * Progress of a replica as it reported it.
     *
     * @param name the replica
     * @param flushed position it holds
     * @param replayed position it shows to reads
     */
    public record ReplicaProgress(String name, long flushed, long replayed) {}

    /** What happens when the role or the upstream changes. */
    public interface RoleListener {
        /**
         * Follows a change; called without locks held.
         *
         * @param restarted true when open sessions must end, as they would when a server restarts
         *     to become a replica or to start over from a base copy
         */
        void changed(boolean restarted);
    }

    /**
     * Opens an instance and replays its log.
     *
     * @param group the group
     * @param name unique name of the embedded database in this process
     * @param folder where the log is kept
     * @param startAsPrimary the role when there is no log yet
     */
    public Instance(GroupId group, String name, Path folder, boolean startAsPrimary) {
        this.group = group;
        this.url =
                "jdbc:h2:mem:"
                        + name
                        + ";MODE=PostgreSQL;DATABASE_TO_LOWER=TRUE;DEFAULT_NULL_ORDERING=HIGH"
                        + ";OPTIMIZE_REUSE_RESULTS=0;LOCK_TIMEOUT=5000;DB_CLOSE_DELAY=-1"
                        + ";DB_CLOSE_ON_EXIT=FALSE";
        this.file = new LogFile(folder.resolve(group + ".log"));
        try {
            keeper = connect();
            applier = connect();
            applier.setAutoCommit(false);
            SystemFunctions.install(this, name, keeper);
            load(startAsPrimary);
        } catch (SQLException e) {
            throw new IllegalStateException("instance " + group + ": " + e.getMessage(), e);
        }
    }

    private void load(boolean startAsPrimary) throws SQLException {
        primary = startAsPrimary;
        applied = BEGINNING;
        List<LogRecord> records = file.open();
        for (LogRecord record : records) {
            if (record.kind() == LogRecord.Kind.ROLE) {
                primary = record.primary();
            } else {
                replay(record);
            }
            applied = record.point();
            remember(record);
        }
        receivedPosition = applied.position();
    }

    /**
     * Opens an embedded connection with the login role.
     *
     * @return a new connection
     * @throws SQLException when the engine refuses
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
     * Sets who follows changes of the role.
     *
     * @param newListener the listener
     */
    public void listen(RoleListener newListener) {
        listener = newListener;
    }

    // ---- writes at the primary ----

    /**
     * Returns the lock that writers take.
     *
     * @return one lock for the instance
     */
    public WriteLock writeLock() {
        return writeLock;
    }

    /**
     * Commits a transaction and logs it; the caller holds the write lock.
     *
     * @param connection the embedded connection with the changes
     * @param statements what was run
     * @throws SQLException when the commit fails or this is no primary any more
     */
    public void commit(Connection connection, List<LoggedStatement> statements)
            throws SQLException {
        synchronized (monitor) {
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
            file.append(record);
            applied = next;
            receivedPosition = next.position();
            remember(record);
            monitor.notifyAll();
        }
    }

    private void remember(LogRecord record) {
        if (record.kind() == LogRecord.Kind.BASE) {
            recent.clear();
            historyComplete = false;
        }
        recent.addLast(record);
        if (recent.size() > RECORDS_IN_MEMORY) {
            recent.removeFirst();
            historyComplete = false;
        }
    }

    // ---- replication, the primary's side ----

    /**
     * Finds what a replica needs next.
     *
     * @param known the place the replica has reached
     * @return the records after it, empty when it has all, or null when it needs a base copy
     */
    public List<LogRecord> recordsAfter(LogPoint known) {
        synchronized (monitor) {
            if (known.equals(applied)) {
                return List.of();
            }
            Deque<LogRecord> after = new ArrayDeque<>();
            Iterator<LogRecord> newestFirst = recent.descendingIterator();
            while (newestFirst.hasNext()) {
                LogRecord record = newestFirst.next();
                if (record.point().equals(known)) {
                    return new ArrayList<>(after);
                }
                after.addFirst(record);
            }
            return historyComplete && known.equals(BEGINNING) ? new ArrayList<>(after) : null;
        }
    }

    /**
     * Waits until there is something after a place.
     *
     * @param known the place
     * @param timeoutMillis how long to wait
     * @throws InterruptedException when the thread is interrupted
     */
    public void awaitAfter(LogPoint known, long timeoutMillis) throws InterruptedException {
        synchronized (monitor) {
            if (known.equals(applied)) {
                monitor.wait(timeoutMillis);
            }
        }
    }

    /**
     * Makes a base copy; no write commits meanwhile.
     *
     * @return the copy and its place
     * @throws SQLException when the engine fails
     */
    public LogRecord baseCopy() throws SQLException {
        synchronized (monitor) {
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
     * Notes what a replica has reported.
     *
     * @param progress the report
     */
    public void replicaProgress(ReplicaProgress progress) {
        replicas.put(progress.name(), progress);
    }

    /**
     * Forgets a replica that is no longer connected.
     *
     * @param name the replica
     */
    public void replicaGone(String name) {
        replicas.remove(name);
    }

    // ---- replication, the replica's side ----

    /**
     * Returns the place up to which records were received.
     *
     * @return the place to continue from
     */
    public LogPoint receivedPoint() {
        synchronized (inbox) {
            Received last = received.peekLast();
            return last == null ? applied : last.record().point();
        }
    }

    /**
     * Keeps a received record and queues it for replay.
     *
     * @param record the next record
     * @param from the upstream it came from
     * @return false when the upstream was changed meanwhile, so that the record was not taken
     */
    public boolean receive(LogRecord record, HostPort from) {
        synchronized (inbox) {
            if (primary || !from.equals(upstream)) {
                return false;
            }
            if (record.kind() == LogRecord.Kind.BASE) {
                received.clear();
                file.restart(record);
                LOG.infof("group %s: starts over from a base copy", group);
            } else {
                file.append(record);
            }
            received.addLast(new Received(record, System.nanoTime()));
            receivedPosition = record.position();
            inbox.notifyAll();
        }
        if (record.kind() == LogRecord.Kind.BASE) {
            listener.changed(true);
        }
        return true;
    }

    /**
     * Replays the oldest received record that was not replayed yet.
     *
     * @return false when there is none
     * @throws IllegalStateException when the record can't be replayed now; it stays the oldest
     */
    public boolean replayNext() {
        synchronized (monitor) {
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
            synchronized (inbox) {
                applied = next.point();
                boolean unchanged = !received.isEmpty() && received.peekFirst().record() == next;
                if (unchanged) {
                    received.removeFirst();
                }
            }
            remember(next);
            monitor.notifyAll();
            return true;
        }
    }

    private LogRecord oldestReceived() {
        synchronized (inbox) {
            Received first = received.peekFirst();
            return first == null ? null : first.record();
        }
    }

    /**
     * Waits until the oldest received record is to be replayed.
     *
     * @param lagNanos how long after its receipt a record is replayed
     * @throws InterruptedException when the thread is interrupted
     */
    public void awaitReplayDue(long lagNanos) throws InterruptedException {
        synchronized (inbox) {
            while (received.isEmpty()) {
                inbox.wait();
            }
            long dueNanos = received.peekFirst().atNanos() + lagNanos;
            long waitNanos = dueNanos - System.nanoTime();
            if (waitNanos > 0) {
                TimeUnit.NANOSECONDS.timedWait(inbox, waitNanos);
            }
        }
    }

    /**
     * Tells whether the oldest received record is to be replayed.
     *
     * @param lagNanos how long after its receipt a record is replayed
     * @return false when there is none or it is too young
     */
    public boolean replayDue(long lagNanos) {
        synchronized (inbox) {
            Received first = received.peekFirst();
            return first != null && System.nanoTime() - first.atNanos() >= lagNanos;
        }
    }

    private void replay(LogRecord record) throws SQLException {
        if (record.kind() == LogRecord.Kind.ROLE) {
            return;
        }
        if (record.kind() == LogRecord.Kind.BASE) {
            RoleSwitch.setRole(applier, LOGIN_ROLE);
            applier.createStatement().execute("DROP ALL OBJECTS");
        }
        SystemFunctions.replaying(record.timeline());
        try {
            for (LoggedStatement statement : record.statements()) {
                RoleSwitch.setRole(applier, LOGIN_ROLE);
                RoleSwitch.setSchema(
                        applier, statement.schema() == null ? "public" : statement.schema());
                if (statement.role() != null) {
                    RoleSwitch.setRole(applier, statement.role());
                }
                StatementRunner.run(applier, statement);
            }
            applier.commit();
        } catch (SQLException e) {
            applier.rollback();
            throw e;
        } finally {
            SystemFunctions.replaying(null);
        }
    }

    // ---- role ----

    /**
     * Makes this instance the primary of a new timeline; a primary stays as it is.
     *
     * @return true
     */
    boolean promote() {
        synchronized (monitor) {
            if (primary) {
                return true;
            }
            synchronized (inbox) {
                upstream = null;
            }
            while (replayNext()) {
                LOG.debugf("group %s: replayed before promotion", group);
            }
            primary = true;
            String origin = UUID.randomUUID().toString();
            applied = new LogPoint(applied.position(), applied.timeline() + 1, origin);
            LogRecord record = LogRecord.role(applied, true);
            file.append(record);
            remember(record);
            monitor.notifyAll();
            LOG.infof("group %s: promoted, timeline %d", group, applied.timeline());
        }
        listener.changed(false);
        return true;
    }

    /**
     * Sets the upstream that the next reload puts in force.
     *
     * @param conninfo PostgreSQL's {@code primary_conninfo}; empty for none
     */
    public void setPrimaryConninfo(String conninfo) {
        synchronized (monitor) {
            pendingUpstream = Conninfo.parse(conninfo);
            upstreamPending = true;
        }
    }

    /**
     * Puts the settings in force; a primary that is given an upstream becomes a replica.
     *
     * @return true
     */
    boolean reload() {
        boolean demoted;
        synchronized (monitor) {
            if (!upstreamPending) {
                return true;
            }
            upstreamPending = false;
            demoted = primary && pendingUpstream != null;
            boolean unchanged = !demoted && (primary || Objects.equals(upstream, pendingUpstream));
            if (unchanged) {
                return true;
            }
            synchronized (inbox) {
                upstream = pendingUpstream;
                if (demoted) {
                    primary = false;
                    file.append(LogRecord.role(applied, false));
                }
            }
            if (demoted) {
                replicas.clear();
                LOG.infof("group %s: now follows %s", group, upstream);
            }
            monitor.notifyAll();
        }
        listener.changed(demoted);
        return true;
    }

    /**
     * Returns the server that this instance follows.
     *
     * @return null for a primary and for a replica that was cut off
     */
    public HostPort upstream() {
        return upstream;
    }

    /**
     * Tells the role.
     *
     * @return true for a primary
     */
    public boolean isPrimary() {
        return primary;
    }

    /**
     * Returns the timeline.
     *
     * @return from 1
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
        synchronized (monitor) {
            return applied.position();
        }
    }

    /**
     * Returns the position that is held, replayed or not.
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
                    SystemFunctions.lsn(progress.flushed()),
                    SystemFunctions.lsn(progress.replayed()));
        }
        return rows;
    }
}
