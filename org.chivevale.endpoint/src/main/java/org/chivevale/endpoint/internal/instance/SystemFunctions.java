package org.chivevale.endpoint.internal.instance;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.chivevale.core.group.LogPosition;

/**
 * PostgreSQL's administration functions that the system asks, as functions of the embedded engine.
 *
 * <p>Names and results follow "System Administration Functions" in the PostgreSQL documentation.
 * Thread safe.
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

    /** Timeline of the record that the thread replays; the functions answer as at its primary. */
    private static final ThreadLocal<Long> REPLAYED_TIMELINE = new ThreadLocal<>();

    private SystemFunctions() {}

    /** Notes that the thread replays a record of a timeline; null when it has ended. */
    static void replaying(Long timeline) {
        if (timeline == null) {
            REPLAYED_TIMELINE.remove();
        } else {
            REPLAYED_TIMELINE.set(timeline);
        }
    }

    static void install(Instance instance, String name, Connection connection) throws SQLException {
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

    static String lsn(long position) {
        return LogPosition.format(position);
    }

    private static Instance instance(Connection connection) throws SQLException {
        Instance instance = INSTANCES.get(connection.getCatalog());
        if (instance == null) {
            throw new SQLException("no instance " + connection.getCatalog(), "XX000");
        }
        return instance;
    }

    private static Instance primary(Connection connection) throws SQLException {
        Instance instance = instance(connection);
        if (!instance.isPrimary() && REPLAYED_TIMELINE.get() == null) {
            throw new SQLException("recovery is in progress", "55000");
        }
        return instance;
    }

    private static Instance administered(Connection connection) throws SQLException {
        if (!RoleSwitch.isAdmin(connection)) {
            throw new SQLException("permission denied", "42501");
        }
        return instance(connection);
    }

    public static String currentPosition(Connection connection) throws SQLException {
        return lsn(primary(connection).appliedPosition());
    }

    public static String replayPosition(Connection connection) throws SQLException {
        return lsn(instance(connection).appliedPosition());
    }

    public static String receivePosition(Connection connection) throws SQLException {
        return lsn(instance(connection).receivedPosition());
    }

    public static boolean inRecovery(Connection connection) throws SQLException {
        return !instance(connection).isPrimary();
    }

    public static String walFileName(Connection connection, String position) throws SQLException {
        long segment = LogPosition.parse(position) >>> 24;
        Instance instance = primary(connection);
        Long replayed = REPLAYED_TIMELINE.get();
        long timeline = replayed == null ? instance.timeline() : replayed;
        return String.format("%08X%08X%08X", timeline, 0, segment);
    }

    public static boolean promote(Connection connection) throws SQLException {
        return administered(connection).promote();
    }

    public static boolean reload(Connection connection) throws SQLException {
        return administered(connection).reload();
    }

    public static ResultSet replicationStatistics(Connection connection) throws SQLException {
        return instance(connection).replicationStatistics();
    }
}
