package org.chivevale.endpoint.internal.postgres;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivevale.core.statement.ScannedStatement;
import org.chivevale.core.statement.SqlScanner;
import org.chivevale.endpoint.internal.instance.Instance;
import org.chivevale.endpoint.internal.instance.LoggedStatement;
import org.chivevale.endpoint.internal.instance.RoleSwitch;
import org.chivevale.endpoint.internal.instance.SqlParameter;
import org.chivevale.endpoint.internal.instance.StatementRunner;
import org.chivevale.endpoint.internal.instance.WriteLock;

/**
 * Session of one client on the embedded engine: transactions, role and search path.
 *
 * <p>Invariants: the write lock is held from the first write of a transaction to its end; a failed
 * transaction is rolled back at once and rejects all statements until the client ends it. Used by
 * one thread, except {@link #cancel}.
 */
final class SqlSession implements AutoCloseable {
    private static final int H2_UNKNOWN_DATA_TYPE = 50004;
    private static final long LOCK_TIMEOUT_MILLIS = 5000;
    private static final Set<String> WRITE_KEYWORDS =
            Set.of(
                    "insert",
                    "update",
                    "delete",
                    "merge",
                    "truncate",
                    "create",
                    "drop",
                    "alter",
                    "grant",
                    "revoke",
                    "comment");
    private static final Set<String> SCHEMA_CHANGE_KEYWORDS =
            Set.of("truncate", "create", "drop", "alter", "grant", "revoke", "comment");
    private static final long UPGRADE_TIMEOUT_MILLIS = 200;
    private static final Pattern SELECT = Pattern.compile("(?i)\\bselect\\b");
    private static final Pattern STORE_OUTCOME =
            Pattern.compile("(?i)update chivevale\\.request set outcome");
    private static final Pattern SETTING =
            Pattern.compile(
                    "(?is)\\s*(?:set|reset)\\s+(local\\s+|session\\s+)?(\\w+)"
                            + "(?:\\s*(?:=|\\bto\\b)?\\s*(.*?))?\\s*;?\\s*");
    private static final Pattern CONNINFO =
            Pattern.compile(
                    "(?is)\\s*alter\\s+system\\s+set\\s+primary_conninfo\\s*=\\s*'(.*)'\\s*");

    private final Instance instance;
    private final Connection connection;
    private final List<LoggedStatement> pendingStatements = new ArrayList<>();
    private boolean inTransactionBlock;
    private boolean failed;
    private final WriteLock.Hold writeLockHold;
    private boolean readOnlyDefault;
    private boolean readOnlyTransaction;
    private String role;
    private String schema;
    private boolean localSettings;
    private String roleBeforeLocal;
    private String schemaBeforeLocal;
    private volatile Statement running;

    SqlSession(Instance instance) throws SQLException {
        this.instance = instance;
        this.writeLockHold = instance.writeLock().new Hold();
        this.connection = instance.connect();
        this.connection.setAutoCommit(false);
    }

    /** Returns the status byte of ReadyForQuery. */
    char transactionStatus() {
        if (failed) {
            return 'E';
        }
        return inTransactionBlock ? 'T' : 'I';
    }

    /**
     * Prepares a statement for its description; returns null for an empty one or a session command.
     */
    PreparedStatement prepare(String sql) throws SQLException {
        List<ScannedStatement> statements = new SqlScanner(sql).scan();
        if (statements.size() > 1) {
            throw new SQLException(
                    "cannot insert multiple commands into a prepared statement", "42601");
        }
        if (statements.isEmpty() || isSessionCommand(statements.get(0))) {
            return null;
        }
        if (failed) {
            throw transactionAborted();
        }
        return prepareOnEngine(SqlTranslator.translate(statements.get(0).text()).sql());
    }

    private PreparedStatement prepareOnEngine(String sql) throws SQLException {
        try {
            return connection.prepareStatement(sql);
        } catch (SQLException e) {
            if (e.getErrorCode() != H2_UNKNOWN_DATA_TYPE) {
                throw e;
            }
            return connection.prepareStatement(SqlTranslator.castParametersToVarchar(sql));
        }
    }

    /** Runs one statement; an error fails the transaction. */
    SqlResult execute(ScannedStatement statement, List<SqlParameter> parameters)
            throws SQLException {
        try {
            return tryExecute(statement, parameters);
        } catch (SQLException e) {
            markFailed();
            throw e;
        }
    }

    private SqlResult tryExecute(ScannedStatement statement, List<SqlParameter> parameters)
            throws SQLException {
        String keyword = statement.word(0);
        SqlResult blockEnd = endTransactionBlock(keyword);
        if (blockEnd != null) {
            return blockEnd;
        }
        if (failed) {
            throw transactionAborted();
        }
        SqlResult command = runSessionCommand(keyword, statement);
        if (command != null) {
            return command;
        }
        boolean writes = isWrite(statement);
        if (writes) {
            checkWriteAndLock(keyword, statement.text());
        }
        String sql = SqlTranslator.translate(statement.text()).sql();
        SqlResult result = run(keyword, sql, parameters);
        if (writes) {
            pendingStatements.add(new LoggedStatement(sql, schema, role, List.copyOf(parameters)));
        }
        return result;
    }

    private SqlResult run(String keyword, String sql, List<SqlParameter> parameters)
            throws SQLException {
        PreparedStatement prepared = prepareOnEngine(sql);
        running = prepared;
        try {
            StatementRunner.bind(prepared, parameters);
            if (prepared.execute()) {
                return SqlResult.rows(keyword, prepared, prepared.getResultSet());
            }
            int count = prepared.getUpdateCount();
            prepared.close();
            return SqlResult.count(keyword, Math.max(0, count));
        } catch (SQLException e) {
            prepared.close();
            throw e;
        } finally {
            running = null;
        }
    }

    private static boolean isSessionCommand(ScannedStatement statement) {
        return switch (statement.word(0)) {
            case "begin",
                    "start",
                    "commit",
                    "end",
                    "rollback",
                    "abort",
                    "set",
                    "reset",
                    "discard",
                    "savepoint",
                    "release" ->
                    true;
            case "alter" -> statement.word(1).equals("system");
            case "grant" -> SqlTranslator.translate(statement.text()).roleGrant();
            default -> false;
        };
    }

    private SqlResult endTransactionBlock(String keyword) throws SQLException {
        switch (keyword) {
            case "commit", "end" -> {
                boolean wasFailed = failed;
                if (wasFailed) {
                    rollback();
                } else {
                    commit();
                }
                return SqlResult.command(wasFailed ? "ROLLBACK" : "COMMIT");
            }
            case "rollback", "abort" -> {
                rollback();
                return SqlResult.command("ROLLBACK");
            }
            default -> {
                return null;
            }
        }
    }

    private SqlResult runSessionCommand(String keyword, ScannedStatement statement)
            throws SQLException {
        switch (keyword) {
            case "begin", "start" -> {
                inTransactionBlock = true;
                readOnlyTransaction =
                        readOnlyDefault
                                || statement.text().toLowerCase(Locale.ROOT).contains("only");
                return SqlResult.command("BEGIN");
            }
            case "set", "reset" -> {
                applySetting(statement.text());
                return SqlResult.command(keyword.toUpperCase(Locale.ROOT));
            }
            case "discard" -> {
                applyRole(null);
                applySchema(null);
                return SqlResult.command("DISCARD ALL");
            }
            case "savepoint", "release" ->
                    throw new SQLException("savepoints are not supported", "0A000");
            case "alter" -> {
                Matcher conninfo = CONNINFO.matcher(statement.text());
                if (!conninfo.matches()) {
                    return null;
                }
                requireLoginRole();
                instance.setPrimaryConninfo(conninfo.group(1));
                return SqlResult.command("ALTER SYSTEM");
            }
            case "grant" -> {
                return SqlTranslator.translate(statement.text()).roleGrant()
                        ? SqlResult.command("GRANT ROLE")
                        : null;
            }
            default -> {
                return null;
            }
        }
    }

    private void requireLoginRole() throws SQLException {
        if (role != null) {
            throw new SQLException("permission denied", "42501");
        }
    }

    private void applySetting(String text) throws SQLException {
        Matcher setting = SETTING.matcher(text);
        if (!setting.matches()) {
            throw new SQLException("syntax error in " + text, "42601");
        }
        boolean local =
                setting.group(1) != null && setting.group(1).trim().equalsIgnoreCase("local");
        String name = setting.group(2).toLowerCase(Locale.ROOT);
        String value = setting.group(3) == null ? "" : unquote(setting.group(3));
        if (local) {
            saveSettingsBeforeLocal();
        }
        switch (name) {
            case "role" -> applyRole(value.isEmpty() || value.equals("none") ? null : value);
            case "search_path" -> applySchema(value.isEmpty() ? null : value);
            case "default_transaction_read_only" -> readOnlyDefault = isOn(value);
            case "transaction" ->
                    readOnlyTransaction = value.toLowerCase(Locale.ROOT).contains("only");
            default -> {
                // Other settings have no effect in the stand-in.
            }
        }
    }

    private static boolean isOn(String value) {
        return value.equalsIgnoreCase("on") || value.equalsIgnoreCase("true");
    }

    private static String unquote(String value) {
        String trimmed = value.trim();
        boolean quoted =
                trimmed.length() >= 2
                        && (trimmed.startsWith("\"") && trimmed.endsWith("\"")
                                || trimmed.startsWith("'") && trimmed.endsWith("'"));
        return quoted
                ? trimmed.substring(1, trimmed.length() - 1)
                : trimmed.toLowerCase(Locale.ROOT);
    }

    private void saveSettingsBeforeLocal() {
        if (!localSettings) {
            localSettings = true;
            roleBeforeLocal = role;
            schemaBeforeLocal = schema;
        }
    }

    private void applyRole(String newRole) throws SQLException {
        RoleSwitch.setRole(connection, newRole == null ? Instance.LOGIN_ROLE : newRole);
        role = newRole;
    }

    private void applySchema(String newSchema) {
        RoleSwitch.setSchema(connection, newSchema == null ? "public" : newSchema);
        schema = newSchema;
    }

    private static boolean isWrite(ScannedStatement statement) {
        String keyword = statement.word(0);
        if (WRITE_KEYWORDS.contains(keyword)) {
            return true;
        }
        List<String> words = statement.words();
        if (keyword.equals("with")) {
            return words.contains("insert") || words.contains("update") || words.contains("delete");
        }
        return false;
    }

    private void checkWriteAndLock(String keyword, String sql) throws SQLException {
        if (readOnlyDefault || readOnlyTransaction || !instance.isPrimary()) {
            throw new SQLException(
                    "cannot execute "
                            + keyword.toUpperCase(Locale.ROOT)
                            + " in a read-only transaction",
                    "25006");
        }
        if (SqlTranslator.translate(sql).nonDeterministic()) {
            throw new SQLException(
                    "the stand-in replicates statements, so it rejects non-deterministic functions",
                    "0A000");
        }
        if (SCHEMA_CHANGE_KEYWORDS.contains(keyword) && inTransactionBlock) {
            throw new SQLException("schema changes are not supported in a transaction", "0A000");
        }
        acquireWriteLock(!isReplayOrderIndependent(keyword, sql));
    }

    /** Tells whether a replay has the same effect whichever transactions committed before it. */
    private static boolean isReplayOrderIndependent(String keyword, String sql) {
        if (keyword.equals("insert")) {
            return !SELECT.matcher(sql).find();
        }
        return STORE_OUTCOME.matcher(sql).lookingAt();
    }

    private void acquireWriteLock(boolean exclusive) throws SQLException {
        boolean upgrade = exclusive && writeLockHold.isShared();
        try {
            if (!writeLockHold.acquire(
                    exclusive, upgrade ? UPGRADE_TIMEOUT_MILLIS : LOCK_TIMEOUT_MILLIS)) {
                throw upgrade
                        ? new SQLException("deadlock detected", "40P01")
                        : new SQLException("canceling statement due to lock timeout", "55P03");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SQLException("interrupted", "57014", e);
        }
    }

    /** Commits the implicit transaction, at Sync or at the end of a simple query. */
    void commitImplicit() throws SQLException {
        if (inTransactionBlock || failed) {
            return;
        }
        try {
            commit();
        } catch (SQLException e) {
            rollback();
            throw e;
        }
    }

    /** Rolls back after an error; a transaction block stays failed until the client ends it. */
    void markFailed() throws SQLException {
        boolean wasInBlock = inTransactionBlock;
        rollBackChanges();
        inTransactionBlock = wasInBlock;
        failed = wasInBlock;
    }

    private void commit() throws SQLException {
        if (pendingStatements.isEmpty()) {
            connection.commit();
        } else {
            instance.commit(connection, pendingStatements);
        }
        endTransaction();
    }

    private void rollback() throws SQLException {
        rollBackChanges();
        endTransaction();
    }

    private void rollBackChanges() throws SQLException {
        connection.rollback();
        pendingStatements.clear();
        writeLockHold.release();
    }

    private void endTransaction() throws SQLException {
        pendingStatements.clear();
        writeLockHold.release();
        inTransactionBlock = false;
        failed = false;
        readOnlyTransaction = false;
        if (localSettings) {
            localSettings = false;
            applyRole(roleBeforeLocal);
            applySchema(schemaBeforeLocal);
        }
    }

    private static SQLException transactionAborted() {
        return new SQLException(
                "current transaction is aborted, commands ignored until end of transaction block",
                "25P02");
    }

    /** Cancels the running statement, if any; may be called by any thread. */
    void cancel() {
        Statement statement = running;
        if (statement == null) {
            return;
        }
        try {
            statement.cancel();
        } catch (SQLException e) {
            // The statement has just ended and needs no cancellation.
            running = null;
        }
    }

    @Override
    public void close() {
        try {
            rollBackChanges();
            RoleSwitch.setRole(connection, Instance.LOGIN_ROLE);
            connection.close();
        } catch (SQLException e) {
            // The engine has closed the connection already.
            writeLockHold.release();
        }
    }

    /** Result of one statement. */
    record SqlResult(String command, PreparedStatement statement, ResultSet rows, int count) {
        static SqlResult rows(String keyword, PreparedStatement statement, ResultSet rows) {
            return new SqlResult(keyword, statement, rows, 0);
        }

        static SqlResult count(String keyword, int count) {
            return new SqlResult(keyword, null, null, count);
        }

        static SqlResult command(String tag) {
            return new SqlResult(tag, null, null, -1);
        }

        /** Returns the command tag of CommandComplete. */
        String tag(int rowCount) {
            String upper = command.toUpperCase(Locale.ROOT);
            return switch (upper) {
                case "INSERT" -> "INSERT 0 " + rowCount;
                case "UPDATE", "DELETE", "MERGE" -> upper + " " + rowCount;
                case "SELECT", "VALUES", "TABLE", "WITH", "SHOW" -> "SELECT " + rowCount;
                default -> upper;
            };
        }
    }
}
