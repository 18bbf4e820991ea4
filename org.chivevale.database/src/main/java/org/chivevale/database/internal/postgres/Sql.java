package org.chivevale.database.internal.postgres;

import java.util.Locale;
import org.chivevale.core.account.ClientAccountId;

/**
 * SQL that the system itself sends to PostgreSQL endpoints.
 *
 * <p>Functions of the server are qualified with their schema, so that no table or function of a
 * client account can shadow them. Stateless and thread safe.
 */
final class Sql {
    static final String BEGIN = "BEGIN";
    static final String COMMIT = "COMMIT";
    static final String ROLLBACK = "ROLLBACK";
    static final String RESET_LOCAL_ROLE = "SET LOCAL ROLE NONE";
    static final String RESET_SESSION_AND_BEGIN =
            "SET ROLE NONE; SET default_transaction_read_only TO off; BEGIN";

    static final String PRIMARY_POSITION = "SELECT pg_catalog.pg_current_wal_lsn()::text";
    static final String REPLICA_POSITION = "SELECT pg_catalog.pg_last_wal_replay_lsn()::text";
    static final String PRIMARY_STATUS =
            "SELECT pg_catalog.pg_walfile_name(pg_catalog.pg_current_wal_lsn())::text,"
                    + " pg_catalog.pg_current_wal_lsn()::text, NULL"
                    + " UNION ALL SELECT NULL, NULL, flush_lsn::text"
                    + " FROM pg_catalog.pg_stat_replication WHERE state = 'streaming'";
    static final String IS_REPLICA = "SELECT pg_catalog.pg_is_in_recovery()";
    static final String RECEIVED_POSITION =
            "SELECT pg_catalog.pg_last_wal_receive_lsn()::text,"
                    + " pg_catalog.pg_last_wal_replay_lsn()::text";
    static final String PROMOTE = "SELECT pg_catalog.pg_promote()";
    static final String RELOAD_CONFIGURATION = "SELECT pg_catalog.pg_reload_conf()";
    static final String FIND_REQUEST =
            "SELECT body_hash, outcome FROM chivevale.request"
                    + " WHERE account = $1 AND request_id = $2";
    static final String STORE_OUTCOME =
            "UPDATE chivevale.request SET outcome = $3 WHERE account = $1 AND request_id = $2";
    static final String DELETE_OLD_REQUESTS =
            "DELETE FROM chivevale.request WHERE (account, request_id) IN"
                    + " (SELECT account, request_id FROM chivevale.request"
                    + " WHERE created_ms < $1 LIMIT $2)";
    static final String CREATE_SCHEMA = "CREATE SCHEMA IF NOT EXISTS chivevale";
    static final String CREATE_REQUESTS =
            "CREATE TABLE IF NOT EXISTS chivevale.request ("
                    + "account varchar(48) NOT NULL, request_id varchar(36) NOT NULL,"
                    + " body_hash varchar(64) NOT NULL, created_ms bigint NOT NULL,"
                    + " term bigint NOT NULL, outcome text, PRIMARY KEY (account, request_id))";
    static final String CREATE_REQUESTS_INDEX =
            "CREATE INDEX IF NOT EXISTS request_created ON chivevale.request (created_ms)";

    private Sql() {}

    /** Expression that fails with a division by zero unless the endpoint is primary of the term. */
    private static String termCheck(long term) {
        String timeline = String.format(Locale.ROOT, "%08X", term);
        return term
                + " / (CASE WHEN substr(pg_catalog.pg_walfile_name("
                + "pg_catalog.pg_current_wal_lsn())::text, 1, 8) = '"
                + timeline
                + "' THEN 1 ELSE 0 END)";
    }

    static String selectTermCheck(long term) {
        return "SELECT " + termCheck(term);
    }

    static String insertRequest(long term) {
        return "INSERT INTO chivevale.request (account, request_id, body_hash, created_ms, term)"
                + " VALUES ($1, $2, $3, $4, "
                + termCheck(term)
                + ")";
    }

    static String setLocalRole(ClientAccountId account) {
        return "SET LOCAL ROLE " + quote(account) + "; SET LOCAL search_path TO " + quote(account);
    }

    static String setReadOnlyRole(ClientAccountId account) {
        return "SET ROLE NONE; SET ROLE "
                + quote(account)
                + "; SET search_path TO "
                + quote(account)
                + "; SET default_transaction_read_only TO on";
    }

    static String setReadWriteRole(ClientAccountId account) {
        return "SET ROLE "
                + quote(account)
                + "; SET search_path TO "
                + quote(account)
                + "; SET default_transaction_read_only TO off";
    }

    static String createRole(ClientAccountId account) {
        return "CREATE ROLE " + quote(account) + " NOLOGIN";
    }

    static String grantRole(ClientAccountId account) {
        return "GRANT " + quote(account) + " TO CURRENT_USER";
    }

    static String createSchema(ClientAccountId account) {
        return "CREATE SCHEMA IF NOT EXISTS " + quote(account) + " AUTHORIZATION " + quote(account);
    }

    static String setPrimaryConninfo(String host, int port, String group) {
        return "ALTER SYSTEM SET primary_conninfo = 'host="
                + host
                + " port="
                + port
                + " dbname="
                + group
                + "'";
    }

    static final String CLEAR_PRIMARY_CONNINFO = "ALTER SYSTEM SET primary_conninfo = ''";

    private static String quote(ClientAccountId account) {
        return '"' + account.value().replace("\"", "\"\"") + '"';
    }
}
