package org.chivevale.endpoint.internal.instance;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.chivevale.core.group.LogPosition;

/**
 * PostgreSQL's administration functions, defined as functions of the embedded engine.
 *
 * <p>Only those that the system calls. Names and results follow "System Administration Functions"
 * in the PostgreSQL documentation. The engine calls the public methods by name. Thread safe.
 */
public final class SystemFunctions {
    /** Schema that holds the functions. */
    public static final String SCHEMA = "chivevale_sys";

    private static final Map<String, Instance> INSTANCES = new ConcurrentHashMap<>();
    private static final Map<String, String> FUNCTIONS =
            Map.ofEntries(
                    Map.entry("pg_current_wal_lsn", "currentPosition"),
                    Map.entry("pg_current_wal_flush_lsn", "currentPosition"),
                    Map.entry("pg_current_wal_insert_lsn", "currentPosition"),
                    Map.entry("pg_last_wal_replay_lsn", "replayPosition"),
                    Map.entry("pg_last_wal_receive_lsn", "receivePosition"),
                    Map.entry("pg_is_in_recovery", "inRecovery"),
                    Map.entry("pg_walfile_name", "walFileName"),
                    Map.entry("pg_promote", "promote"),
                    Map.entry("pg_reload_conf", "reload"),
                    Map.entry("pg_stat_replication", "replicationStatistics"));

    /**
     * Timeline of the record that the thread replays; functions return what they do at its primary.
     */
    private static final ThreadLocal<Long> REPLAYED_TIMELINE = new ThreadLocal<>();

    private SystemFunctions() {}

    /** Sets the timeline of the record that the thread replays; null after the replay. */
    static void setReplayedTimeline(Long timeline) {
        if (timeline == null) {
            REPLAYED_TIMELINE.remove();
        } else {
            REPLAYED_TIMELINE.set(timeline);
        }
    }

    static void createFunctions(Instance instance, String name, Connection connection)
            throws SQLException {
        INSTANCES.put(name, instance);
        try (Statement statement = connection.createStatement()) {
            statement.execute("CREATE SCHEMA IF NOT EXISTS \"" + SCHEMA + "\"");
            for (Map.Entry<String, String> function : FUNCTIONS.entrySet()) {
                statement.execute(
                        "CREATE ALIAS IF NOT EXISTS \""
                                + SCHEMA
                                + "\".\""
                                + function.getKey()
                                + "\" FOR '"
                                + SystemFunctions.class.getName()
                                + "."
                                + function.getValue()
                                + "'");
            }
        }
    }

    static String formatLsn(long position) {
        return LogPosition.format(position);
    }

    private static Instance findInstance(Connection connection) throws SQLException {
        Instance instance = INSTANCES.get(connection.getCatalog());
        if (instance == null) {
            throw new SQLException("no instance " + connection.getCatalog(), "XX000");
        }
        return instance;
    }

    private static Instance requirePrimary(Connection connection) throws SQLException {
        Instance instance = findInstance(connection);
        if (!instance.isPrimary() && REPLAYED_TIMELINE.get() == null) {
            throw new SQLException("recovery is in progress", "55000");
        }
        return instance;
    }

    private static Instance requireAdmin(Connection connection) throws SQLException {
        if (!RoleSwitch.isAdmin(connection)) {
            throw new SQLException("permission denied", "42501");
        }
        return findInstance(connection);
    }

    public static String currentPosition(Connection connection) throws SQLException {
        return formatLsn(requirePrimary(connection).appliedPosition());
    }

    public static String replayPosition(Connection connection) throws SQLException {
        return formatLsn(findInstance(connection).appliedPosition());
    }

    public static String receivePosition(Connection connection) throws SQLException {
        return formatLsn(findInstance(connection).receivedPosition());
    }

    public static boolean inRecovery(Connection connection) throws SQLException {
        return !findInstance(connection).isPrimary();
    }

    public static String walFileName(Connection connection, String position) throws SQLException {
        long segment = LogPosition.parse(position) >>> 24;
        Instance instance = requirePrimary(connection);
        Long replayed = REPLAYED_TIMELINE.get();
        long timeline = replayed == null ? instance.timeline() : replayed;
        return String.format("%08X%08X%08X", timeline, 0, segment);
    }

    public static boolean promote(Connection connection) throws SQLException {
        return requireAdmin(connection).promote();
    }

    public static boolean reload(Connection connection) throws SQLException {
        return requireAdmin(connection).reloadSettings();
    }

    public static ResultSet replicationStatistics(Connection connection) throws SQLException {
        return findInstance(connection).replicationStatistics();
    }
}
