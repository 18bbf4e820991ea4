package org.chivevale.core.statement;

import java.util.List;
import java.util.Set;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Decides which statements callers may run.
 *
 * <p>Client accounts are isolated by their database roles; this policy prevents callers from
 * changing the role, the transaction or the state of a connection that others reuse. Invariant: a
 * statement of a kind that is not listed is rejected. Stateless and thread safe.
 */
public final class StatementPolicy {
    private static final Set<String> READS = Set.of("select", "values", "table");
    private static final Set<String> WRITES = Set.of("insert", "update", "delete", "merge", "with");
    private static final Set<String> SCHEMA_CHANGES = Set.of("create", "alter", "drop");
    private static final Set<String> SCHEMA_OBJECTS =
            Set.of("table", "index", "unique", "sequence");
    private static final Set<String> LOCK_STRENGTHS = Set.of("update", "share");
    private static final Set<String> FORBIDDEN_WORDS =
            Set.of(
                    SqlScanner.UNICODE_IDENTIFIER,
                    "set_config",
                    "pg_promote",
                    "pg_reload_conf",
                    "pg_terminate_backend",
                    "pg_cancel_backend",
                    "pg_notify",
                    "pg_read_file",
                    "pg_read_binary_file",
                    "pg_ls_dir",
                    "pg_sleep",
                    "lo_import",
                    "lo_export",
                    "dblink",
                    "dblink_exec",
                    "dblink_connect",
                    "query_to_xml",
                    "database_to_xml",
                    "schema_to_xml",
                    "pg_advisory_lock",
                    "pg_advisory_lock_shared",
                    "pg_try_advisory_lock",
                    "pg_try_advisory_lock_shared");

    private StatementPolicy() {}

    /**
     * Classifies one statement.
     *
     * @param sql the statement as the caller sent it
     * @return what it may do
     * @throws ChivevaleException with STATEMENT_FORBIDDEN when callers may not run it
     */
    public static StatementKind classify(String sql) {
        List<ScannedStatement> statements = new SqlScanner(sql).scan();
        if (statements.size() != 1) {
            throw forbidden("expected one statement, found " + statements.size());
        }
        ScannedStatement statement = statements.get(0);
        for (String word : statement.words()) {
            if (FORBIDDEN_WORDS.contains(word)) {
                throw forbidden("callers may not use '" + word + "'");
            }
        }
        return kind(statement);
    }

    private static StatementKind kind(ScannedStatement statement) {
        String first = statement.word(0);
        if (READS.contains(first)) {
            return locks(statement) ? StatementKind.WRITE : StatementKind.READ;
        }
        if (WRITES.contains(first)) {
            return StatementKind.WRITE;
        }
        boolean schemaChange =
                SCHEMA_CHANGES.contains(first) && SCHEMA_OBJECTS.contains(statement.word(1));
        if (schemaChange) {
            return StatementKind.SCHEMA;
        }
        throw forbidden("callers may not run statements that start with '" + first + "'");
    }

    private static boolean locks(ScannedStatement statement) {
        List<String> words = statement.words();
        for (int i = 1; i < words.size(); i++) {
            boolean locking =
                    LOCK_STRENGTHS.contains(words.get(i))
                            && (words.get(i - 1).equals("for") || words.get(i - 1).equals("key"));
            if (locking || words.get(i).equals("into")) {
                return true;
            }
        }
        return false;
    }

    private static ChivevaleException forbidden(String reason) {
        return new ChivevaleException(ResultCode.STATEMENT_FORBIDDEN, reason);
    }
}
