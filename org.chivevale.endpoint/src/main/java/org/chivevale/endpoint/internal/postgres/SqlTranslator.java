package org.chivevale.endpoint.internal.postgres;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivevale.endpoint.internal.instance.SystemFunctions;

/**
 * Rewrites the few forms of PostgreSQL's SQL that the embedded engine writes differently.
 *
 * <p>Translations are kept, since clients send few texts many times. Thread safe.
 */
final class SqlTranslator {
    private static final String NAMES =
            "pg_current_wal_lsn|pg_current_wal_flush_lsn|pg_current_wal_insert_lsn"
                    + "|pg_last_wal_replay_lsn|pg_last_wal_receive_lsn|pg_is_in_recovery"
                    + "|pg_walfile_name|pg_promote|pg_reload_conf";
    private static final Pattern FUNCTION =
            Pattern.compile("(?<![\\w.\"])(?:pg_catalog\\.)?(" + NAMES + ")\\s*\\(");
    private static final Pattern REPLICATION_VIEW =
            Pattern.compile("(?<![\\w.\"])(?:pg_catalog\\.)?pg_stat_replication\\b(?!\\s*\\()");
    private static final Pattern LSN_CAST = Pattern.compile("::pg_lsn\\b");
    private static final Pattern ROLE =
            Pattern.compile("(?is)\\s*create\\s+role\\s+\"?([a-z0-9_-]+)\"?(?:\\s+\\w+)*\\s*");
    private static final Pattern GRANT_ROLE =
            Pattern.compile("(?is)\\s*grant\\s+\"?[a-z0-9_-]+\"?\\s+to\\s+current_user\\s*");
    private static final Pattern RETURNING =
            Pattern.compile("(?is)^(\\s*(insert|update|delete)\\b.*)\\breturning\\s+([^']*)$");
    private static final Pattern PARAMETER = Pattern.compile("(?<![\\w(])\\$(\\d+)(?!\\s*::)");
    private static final Pattern NON_DETERMINISTIC =
            Pattern.compile(
                    "(?i)\\b(now\\s*\\(|current_timestamp|localtimestamp|current_time|current_date"
                            + "|clock_timestamp|random\\s*\\(|random_uuid|gen_random_uuid|rand\\s*\\()");

    private static final int CACHE_ENTRIES = 2000;
    private static final Map<String, Translated> CACHE = new ConcurrentHashMap<>();

    private SqlTranslator() {}

    /** A statement as the engine takes it, with what must be known before it runs. */
    record Translated(String sql, boolean roleGrant, boolean nonDeterministic) {}

    static Translated translate(String sql) {
        Translated known = CACHE.get(sql);
        if (known != null) {
            return known;
        }
        Translated translated =
                new Translated(
                        rewrite(sql),
                        GRANT_ROLE.matcher(sql).matches(),
                        NON_DETERMINISTIC.matcher(sql).find());
        if (CACHE.size() >= CACHE_ENTRIES) {
            CACHE.clear();
        }
        CACHE.put(sql, translated);
        return translated;
    }

    private static String rewrite(String sql) {
        String lower = sql;
        if (sql.contains("pg_")) {
            lower = FUNCTION.matcher(lower).replaceAll(SystemFunctions.SCHEMA + ".$1(");
            lower =
                    REPLICATION_VIEW
                            .matcher(lower)
                            .replaceAll(SystemFunctions.SCHEMA + ".pg_stat_replication()");
            lower = LSN_CAST.matcher(lower).replaceAll("::varchar");
        }
        Matcher role = ROLE.matcher(lower);
        if (role.matches()) {
            return "CREATE USER IF NOT EXISTS \"" + role.group(1) + "\" PASSWORD ''";
        }
        Matcher returning = RETURNING.matcher(lower);
        if (returning.matches()) {
            String table = returning.group(2).equalsIgnoreCase("delete") ? "OLD" : "FINAL";
            return "SELECT "
                    + returning.group(3)
                    + " FROM "
                    + table
                    + " TABLE ("
                    + returning.group(1)
                    + ")";
        }
        return lower;
    }

    /** Gives parameters whose type can't be told from their place the type text. */
    static String castParameters(String sql) {
        return PARAMETER.matcher(sql).replaceAll("CAST(\\$$1 AS VARCHAR)");
    }
}
