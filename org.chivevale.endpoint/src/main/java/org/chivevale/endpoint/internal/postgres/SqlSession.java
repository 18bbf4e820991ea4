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
 * One client's session on the embedded engine: transactions, role, search path.
 *
 * <p>Invariants: the write lock is held from the first write of a transaction to its end; a failed
 * transaction is rolled back at once and refuses everything until the client ends it. Used by one
 * thread, except {@link #cancel}.
 */
final class SqlSession implements AutoCloseable {
    private static final int UNKNOWN_TYPE = 50004;
    private static final long LOCK_TIMEOUT_MILLIS = 5000;
    private static final Set<String> WRITES =
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
    private static final Set<String> SCHEMA_CHANGES =
            Set.of("truncate", "create", "drop", "alter", "grant", "revoke", "comment");
    private static final long UPGRADE_TIMEOUT_MILLIS = 200;
    private static final Pattern SELECT = Pattern.compile("(?i)\\bselect\\b");
    private static final Pattern OWN_REQUEST =
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
    private final List<LoggedStatement> pending = new ArrayList<>();
    private boolean inBlock;
    private boolean failed;
    private final WriteLock.Hold lock;
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
        this.lock = instance.writeLock().new Hold();
        this.connection = instance.connect();
        this.connection.setAutoCommit(false);
    }

    /** Returns the status byte of ReadyForQuery. */
    char status() {
        if (failed) {
            return 'E';
        }
        return inBlock ? 'T' : 'I';
    }

    /** Prepares a statement on the engine, to describe it; null for commands of the session. */
    PreparedStatement prepare(String sql) throws SQLException {
        List<ScannedStatement> statements = new SqlScanner(sql).scan();
        if (statements.size() > 1) {
            throw new SQLException(
                    "cannot insert multiple commands into a prepared statement", "42601");
        }
        if (statements.isEmpty() || isCommand(statements.get(0))) {
            return null;
        }
        if (failed) {
            throw aborted();
        }
        return prepareOnEngine(SqlTranslator.translate(statements.get(0).text()).sql());
    }

    private PreparedStatement prepareOnEngine(String sql) throws SQLException {
        try {
            return connection.prepareStatement(sql);
        } catch (SQLException e) {
            if (e.getErrorCode() != UNKNOWN_TYPE) {
                throw e;
            }
            return connection.prepareStatement(SqlTranslator.castParameters(sql));
        }
    }

    /** Runs one statement. */
    SqlResult execute(ScannedStatement statement, List<SqlParameter> parameters)
            throws SQLException {
        try {
            return tryExecute(statement, parameters);
        } catch (SQLException e) {
            fail();
            throw e;
        }
    }

    private SqlResult tryExecute(ScannedStatement statement, List<SqlParameter> parameters)
            throws SQLException {
        String first = statement.word(0);
        SqlResult ended = endBlock(first);
        if (ended != null) {
            return ended;
        }
        if (failed) {
            throw aborted();
        }
        SqlResult command = command(first, statement);
        if (command != null) {
            return command;
        }
        boolean writes = writes(statement);
        if (writes) {
            beforeWrite(first, statement.text());
        }
        String sql = SqlTranslator.translate(statement.text()).sql();
        SqlResult result = run(first, sql, parameters);
        if (writes) {
            pending.add(new LoggedStatement(sql, schema, role, List.copyOf(parameters)));
        }
        return result;
    }

    private SqlResult run(String first, String sql, List<SqlParameter> parameters)
            throws SQLException {
        PreparedStatement prepared = prepareOnEngine(sql);
        running = prepared;
        try {
            StatementRunner.bind(prepared, parameters);
            if (prepared.execute()) {
                return SqlResult.rows(first, prepared, prepared.getResultSet());
            }
            int count = prepared.getUpdateCount();
            prepared.close();
            return SqlResult.count(first, Math.max(0, count));
        } catch (SQLException e) {
            prepared.close();
            throw e;
        } finally {
            running = null;
        }
    }

    private static boolean isCommand(ScannedStatement statement) {
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

    private SqlResult endBlock(String first) throws SQLException {
        switch (first) {
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

    private SqlResult command(String first, ScannedStatement statement) throws SQLException {
        switch (first) {
            case "begin", "start" -> {
                inBlock = true;
                readOnlyTransaction =
                        readOnlyDefault
                                || statement.text().toLowerCase(Locale.ROOT).contains("only");
                return SqlResult.command("BEGIN");
            }
            case "set", "reset" -> {
                set(statement.text());
                return SqlResult.command(first.toUpperCase(Locale.ROOT));
            }
            case "discard" -> {
                applyRole(null);
                applySchema(null);
                return SqlResult.command("DISCARD ALL");
            }
            case "savepoint", "release" ->
                    throw new SQLException("savepoints are not supported here", "0A000");
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

    private void set(String text) throws SQLException {
        Matcher setting = SETTING.matcher(text);
        if (!setting.matches()) {
            throw new SQLException("syntax error in " + text, "42601");
        }
        boolean local =
                setting.group(1) != null && setting.group(1).trim().equalsIgnoreCase("local");
        String name = setting.group(2).toLowerCase(Locale.ROOT);
        String value = setting.group(3) == null ? "" : unquote(setting.group(3));
        if (local) {
            rememberLocal();
        }
        switch (name) {
            case "role" -> applyRole(value.isEmpty() || value.equals("none") ? null : value);
            case "search_path" -> applySchema(value.isEmpty() ? null : value);
            case "default_transaction_read_only" -> readOnlyDefault = isOn(value);
            case "transaction" ->
                    readOnlyTransaction = value.toLowerCase(Locale.ROOT).contains("only");
            default -> {
                // Other settings do not change what this stand-in does.
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

    private void rememberLocal() {
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

    private static boolean writes(ScannedStatement statement) {
        String first = statement.word(0);
        if (WRITES.contains(first)) {
            return true;
        }
        List<String> words = statement.words();
        if (first.equals("with")) {
            return words.contains("insert") || words.contains("update") || words.contains("delete");
        }
        return false;
    }

    private void beforeWrite(String first, String sql) throws SQLException {
        if (readOnlyDefault || readOnlyTransaction || !instance.isPrimary()) {
            throw new SQLException(
                    "cannot execute "
                            + first.toUpperCase(Locale.ROOT)
                            + " in a read-only transaction",
                    "25006");
        }
        if (SqlTranslator.translate(sql).nonDeterministic()) {
            throw new SQLException(
                    "the stand-in replicates statements, so it takes no changing functions",
                    "0A000");
        }
        if (SCHEMA_CHANGES.contains(first) && inBlock) {
            throw new SQLException("schema changes are not supported in a transaction", "0A000");
        }
        takeLock(!replaysInAnyOrder(first, sql));
    }

    /** Tells whether the statement's replay gives the same whatever was committed before it. */
    private static boolean replaysInAnyOrder(String first, String sql) {
        if (first.equals("insert")) {
            return !SELECT.matcher(sql).find();
        }
        return OWN_REQUEST.matcher(sql).lookingAt();
    }

    private void takeLock(boolean exclusive) throws SQLException {
        boolean upgrade = exclusive && lock.isShared();
        try {
            if (!lock.acquire(exclusive, upgrade ? UPGRADE_TIMEOUT_MILLIS : LOCK_TIMEOUT_MILLIS)) {
                throw upgrade
                        ? new SQLException("deadlock detected", "40P01")
                        : new SQLException("canceling statement due to lock timeout", "55P03");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SQLException("interrupted", "57014", e);
        }
    }

    /** Ends the implicit transaction at the end of a message group. */
    void endImplicit() throws SQLException {
        if (inBlock || failed) {
            return;
        }
        try {
            commit();
        } catch (SQLException e) {
            rollback();
            throw e;
        }
    }

    /** Notes an error: the transaction is rolled back. */
    void fail() throws SQLException {
        boolean wasInBlock = inBlock;
        undo();
        inBlock = wasInBlock;
        failed = wasInBlock;
    }

    private void commit() throws SQLException {
        if (pending.isEmpty()) {
            connection.commit();
        } else {
            instance.commit(connection, pending);
        }
        release();
    }

    private void rollback() throws SQLException {
        undo();
        release();
    }

    private void undo() throws SQLException {
        connection.rollback();
        pending.clear();
        lock.release();
    }

    private void release() throws SQLException {
        pending.clear();
        lock.release();
        inBlock = false;
        failed = false;
        readOnlyTransaction = false;
        if (localSettings) {
            localSettings = false;
            applyRole(roleBeforeLocal);
            applySchema(schemaBeforeLocal);
        }
    }

    private static SQLException aborted() {
        return new SQLException(
                "current transaction is aborted, commands ignored until end of transaction block",
                "25P02");
    }

    /** Cancels the running statement, if there is one; may be called by any thread. */
    void cancel() {
        Statement statement = running;
        if (statement == null) {
            return;
        }
        try {
            statement.cancel();
        } catch (SQLException e) {
            // A statement that has just ended needs no cancellation.
            running = null;
        }
    }

    @Override
    public void close() {
        try {
            undo();
            RoleSwitch.setRole(connection, Instance.LOGIN_ROLE);
            connection.close();
        } catch (SQLException e) {
            // The engine has closed the connection already, which is what was wanted.
            lock.release();
        }
    }

    /** Result of one statement. */
    record SqlResult(String command, PreparedStatement statement, ResultSet rows, int count) {
        static SqlResult rows(String first, PreparedStatement statement, ResultSet rows) {
            return new SqlResult(first, statement, rows, 0);
        }

        static SqlResult count(String first, int count) {
            return new SqlResult(first, null, null, count);
        }

        static SqlResult command(String tag) {
            return new SqlResult(tag, null, null, -1);
        }

        /** Returns the tag of CommandComplete. */
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
