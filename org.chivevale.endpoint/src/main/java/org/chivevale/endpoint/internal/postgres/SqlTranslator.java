package org.chivevale.endpoint.internal.postgres;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivevale.endpoint.internal.instance.SystemFunctions;

/**
 * Rewrites the PostgreSQL syntax that the embedded engine does not accept.
 *
 * <p>Translations are cached, since clients repeat few distinct statements. Thread safe.
 */
final class SqlTranslator {
    private static final String FUNCTION_NAMES =
            "pg_current_wal_lsn|pg_current_wal_flush_lsn|pg_current_wal_insert_lsn"
                    + "|pg_last_wal_replay_lsn|pg_last_wal_receive_lsn|pg_is_in_recovery"
                    + "|pg_walfile_name|pg_promote|pg_reload_conf";
    private static final Pattern FUNCTION =
            Pattern.compile("(?<![\\w.\"])(?:pg_catalog\\.)?(" + FUNCTION_NAMES + ")\\s*\\(");
    private static final Pattern REPLICATION_VIEW =
            Pattern.compile("(?<![\\w.\"])(?:pg_catalog\\.)?pg_stat_replication\\b(?!\\s*\\()");
    private static final Pattern LSN_CAST = Pattern.compile("::pg_lsn\\b");
    private static final Pattern CREATE_ROLE =
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

    private static final int MAX_CACHE_ENTRIES = 2000;
    private static final Map<String, TranslatedStatement> CACHE = new ConcurrentHashMap<>();

    private SqlTranslator() {}

    /** Statement in the engine's dialect, with the properties that decide how it runs. */
    record TranslatedStatement(String sql, boolean roleGrant, boolean nonDeterministic) {}

    static TranslatedStatement translate(String sql) {
        TranslatedStatement cached = CACHE.get(sql);
        if (cached != null) {
            return cached;
        }
        TranslatedStatement translated =
                new TranslatedStatement(
                        rewrite(sql),
                        GRANT_ROLE.matcher(sql).matches(),
                        NON_DETERMINISTIC.matcher(sql).find());
        if (CACHE.size() >= MAX_CACHE_ENTRIES) {
            CACHE.clear();
        }
        CACHE.put(sql, translated);
        return translated;
    }

    private static String rewrite(String sql) {
        String rewritten = sql;
        if (sql.contains("pg_")) {
            rewritten = FUNCTION.matcher(rewritten).replaceAll(SystemFunctions.SCHEMA + ".$1(");
            rewritten =
                    REPLICATION_VIEW
                            .matcher(rewritten)
                            .replaceAll(SystemFunctions.SCHEMA + ".pg_stat_replication()");
            rewritten = LSN_CAST.matcher(rewritten).replaceAll("::varchar");
        }
        Matcher role = CREATE_ROLE.matcher(rewritten);
        if (role.matches()) {
            return "CREATE USER IF NOT EXISTS \"" + role.group(1) + "\" PASSWORD ''";
        }
        Matcher returning = RETURNING.matcher(rewritten);
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
        return rewritten;
    }

    /** Casts the parameters to text, for statements that leave the type of a parameter open. */
    static String castParametersToVarchar(String sql) {
        return PARAMETER.matcher(sql).replaceAll("CAST(\\$$1 AS VARCHAR)");
    }
}
