package org.chivevale.database.internal.postgres;

import io.vertx.core.Future;
import io.vertx.pgclient.PgConnection;
import io.vertx.pgclient.PgException;
import io.vertx.sqlclient.Row;
import io.vertx.sqlclient.RowSet;
import io.vertx.sqlclient.SqlResult;
import io.vertx.sqlclient.Tuple;
import io.vertx.sqlclient.impl.SocketConnectionBase;
import io.vertx.sqlclient.internal.SqlConnectionInternal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collector;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.LogPosition;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.MemberStatus;
import org.chivevale.database.PrimaryStatus;
import org.chivevale.database.PromotionOrder;
import org.chivevale.database.ReadResult;
import org.chivevale.database.RequestRecord;
import org.chivevale.database.ResultLimits;
import org.chivevale.database.ResultsJson;
import org.chivevale.database.Statement;
import org.chivevale.database.StatementResult;
import org.chivevale.database.WriteRequest;
import org.chivevale.database.WriteResult;

/**
 * A connection to a PostgreSQL endpoint.
 *
 * <p>The statements of a request are pipelined. Invariants: a caller's statement is sent only after
 * the role of its client account is known to be set, or within a transaction that fails when
 * setting the role fails; a commit is sent only after all statements before it have succeeded, so
 * an earlier failure has no effect. Used on one event loop.
 */
final class PostgresConnection implements DatabaseConnection {
    private static final String UNIQUE_VIOLATION = "23505";
    private static final String ROLE_EXISTS = "42710";
    private static final int TIMELINE_CHARS = 8;
    private static final int HEX = 16;

    private final PgConnection connection;
    private final GroupId group;
    private boolean usable = true;
    private ClientAccountId readingAccount;
    private boolean sessionAtDefaults = true;
    private long highestReadPosition;
    private boolean commitPending;

    PostgresConnection(PgConnection connection, GroupId group) {
        this.connection = connection;
        this.group = group;
    }

    // ---- reads ----

    @Override
    public Future<ReadResult> read(
            ClientAccountId account,
            List<Statement> statements,
            boolean atPrimary,
            long requiredPosition,
            ResultLimits limits) {
        if (account.equals(readingAccount)) {
            return readWithCurrentRole(statements, atPrimary, requiredPosition, limits);
        }
        readingAccount = null;
        sessionAtDefaults = false;
        return runSimpleQuery(Sql.setReadOnlyRole(account))
                .recover(
                        failure ->
                                Future.failedFuture(PostgresFailures.translateRoleChange(failure)))
                .compose(
                        ignored -> {
                            readingAccount = account;
                            return readWithCurrentRole(
                                    statements, atPrimary, requiredPosition, limits);
                        });
    }

    private Future<ReadResult> readWithCurrentRole(
            List<Statement> statements,
            boolean atPrimary,
            long requiredPosition,
            ResultLimits limits) {
        boolean mustCheckPosition = !atPrimary && requiredPosition > highestReadPosition;
        Future<Long> before =
                mustCheckPosition ? replicaPosition() : Future.succeededFuture(highestReadPosition);
        RowCollector collector = new RowCollector(limits);
        List<Future<StatementResult>> running = runAll(statements, collector);
        Future<Long> after = atPrimary ? primaryPosition() : replicaPosition();
        return Future.join(running)
                .transform(ignored -> before)
                .compose(
                        position -> {
                            if (mustCheckPosition && position < requiredPosition) {
                                return Future.succeededFuture(new ReadResult(List.of(), position));
                            }
                            return collectResults(running, collector)
                                    .compose(
                                            results ->
                                                    after.map(end -> toReadResult(results, end)));
                        })
                .recover(failure -> Future.failedFuture(translate(failure, false)));
    }

    private ReadResult toReadResult(List<StatementResult> results, long position) {
        highestReadPosition = Math.max(highestReadPosition, position);
        return new ReadResult(results, position);
    }

    private List<Future<StatementResult>> runAll(
            List<Statement> statements, RowCollector collector) {
        List<Future<StatementResult>> running = new ArrayList<>();
        for (Statement statement : statements) {
            running.add(run(statement, collector));
        }
        return running;
    }

    private Future<List<StatementResult>> collectResults(
            List<Future<StatementResult>> running, RowCollector collector) {
        List<StatementResult> results = new ArrayList<>();
        for (Future<StatementResult> future : running) {
            if (future.failed()) {
                return Future.failedFuture(future.cause());
            }
            results.add(future.result());
        }
        return collector.overflowed()
                ? Future.failedFuture(resultTooLarge())
                : Future.succeededFuture(results);
    }

    private static DatabaseFailure resultTooLarge() {
        return new DatabaseFailure(
                DatabaseFailure.Kind.ANSWER_TOO_LARGE, "", "the results exceed the size limits");
    }

    private Future<StatementResult> run(Statement statement, RowCollector collector) {
        RowCollector.Batch batch = collector.new Batch();
        Collector<Row, RowCollector.Batch, RowCollector.Batch> rows =
                Collector.of(() -> batch, RowCollector.Batch::add, (a, b) -> a);
        Tuple parameters = Tuple.tuple();
        statement.parameters().forEach(parameters::addValue);
        return connection
                .preparedQuery(statement.sql())
                .collecting(rows)
                .execute(parameters)
                .map(result -> toStatementResult(result, batch));
    }

    private static StatementResult toStatementResult(
            SqlResult<RowCollector.Batch> result, RowCollector.Batch batch) {
        List<String> columns = result.columnsNames() == null ? List.of() : result.columnsNames();
        int affected = columns.isEmpty() ? result.rowCount() : 0;
        return new StatementResult(columns, batch.bytes(), batch.count(), affected);
    }

    // ---- non-interactive writes ----

    @Override
    public Future<WriteResult> write(WriteRequest request) {
        RowCollector collector = new RowCollector(request.limits());
        Future<Void> begun = beginTransaction();
        Future<?> recorded = recordRequestOrCheckTerm(request);
        Future<Void> roleSet = runSimpleQuery(Sql.setLocalRole(request.account()));
        List<Future<StatementResult>> running = runAll(request.statements(), collector);
        return Future.join(running)
                .transform(ignored -> begun)
                .compose(ignored -> recorded)
                .recover(failure -> Future.failedFuture(translateTermCheckFailure(failure)))
                .compose(ignored -> roleSet)
                .recover(
                        failure ->
                                Future.failedFuture(PostgresFailures.translateRoleChange(failure)))
                .compose(ignored -> collectResults(running, collector))
                .compose(results -> storeOutcomeAndCommit(request, ResultsJson.write(results)))
                .recover(failure -> rollBackFailedWrite(request, failure));
    }

    private Future<Void> beginTransaction() {
        readingAccount = null;
        if (sessionAtDefaults) {
            return runSimpleQuery(Sql.BEGIN);
        }
        return runSimpleQuery(Sql.RESET_SESSION_AND_BEGIN)
                .onSuccess(ignored -> sessionAtDefaults = true);
    }

    private Future<?> recordRequestOrCheckTerm(WriteRequest request) {
        RequestRecord record = request.record();
        if (record == null) {
            return connection.preparedQuery(Sql.selectTermCheck(request.term())).execute();
        }
        Tuple values =
                Tuple.of(
                        request.account().value(),
                        record.requestId(),
                        record.bodyHash(),
                        record.createdUnixMillis());
        return connection.preparedQuery(Sql.insertRequest(request.term())).execute(values);
    }

    private Future<WriteResult> storeOutcomeAndCommit(WriteRequest request, byte[] resultsJson) {
        Future<?> stored = Future.succeededFuture();
        if (request.record() != null) {
            Future<Void> roleReset = runSimpleQuery(Sql.RESET_LOCAL_ROLE);
            Future<RowSet<Row>> update =
                    connection
                            .preparedQuery(Sql.STORE_OUTCOME)
                            .execute(
                                    Tuple.of(
                                            request.account().value(),
                                            request.record().requestId(),
                                            new String(resultsJson, StandardCharsets.UTF_8)));
            stored = roleReset.compose(ignored -> update);
        }
        return stored.compose(ignored -> commitAndReadStatus())
                .map(
                        status ->
                                new WriteResult(
                                        resultsJson,
                                        false,
                                        status.position(),
                                        status.replicasHolding(status.position())));
    }

    private Future<PrimaryStatus> commitAndReadStatus() {
        commitPending = true;
        Future<Void> committed =
                runSimpleQuery(Sql.COMMIT)
                        .recover(failure -> Future.failedFuture(translate(failure, true)));
        Future<PrimaryStatus> status =
                primaryStatus()
                        .recover(
                                failure ->
                                        Future.failedFuture(
                                                new DatabaseFailure(
                                                        DatabaseFailure.Kind.LOST_AFTER_COMMIT,
                                                        "",
                                                        "lost after commit: " + failure)));
        return committed.compose(ignored -> status).onComplete(ended -> commitPending = false);
    }

    private Future<WriteResult> rollBackFailedWrite(WriteRequest request, Throwable failure) {
        Throwable translated = translate(failure, false);
        if (!usable) {
            return Future.failedFuture(translated);
        }
        return runSimpleQuery(Sql.ROLLBACK)
                .recover(
                        lost -> {
                            usable = false;
                            return Future.succeededFuture();
                        })
                .compose(ignored -> findOutcomeAfterRollback(request, translated));
    }

    private Future<WriteResult> findOutcomeAfterRollback(WriteRequest request, Throwable failure) {
        boolean mayBeDuplicate =
                request.record() != null
                        && usable
                        && failure instanceof DatabaseFailure rejected
                        && rejected.kind() == DatabaseFailure.Kind.STATEMENT
                        && rejected.sqlState().equals(UNIQUE_VIOLATION);
        if (!mayBeDuplicate) {
            return Future.failedFuture(failure);
        }
        return findRecordedOutcome(request)
                .compose(
                        found ->
                                found == null
                                        ? Future.failedFuture(failure)
                                        : Future.succeededFuture(found))
                .recover(other -> Future.failedFuture(translate(other, false)));
    }

    private Future<WriteResult> findRecordedOutcome(WriteRequest request) {
        RequestRecord record = request.record();
        Future<RowSet<Row>> row =
                connection
                        .preparedQuery(Sql.FIND_REQUEST)
                        .execute(Tuple.of(request.account().value(), record.requestId()));
        Future<PrimaryStatus> status = primaryStatus();
        return row.compose(rows -> status.compose(now -> toRepeatedResult(record, rows, now)));
    }

    private Future<WriteResult> toRepeatedResult(
            RequestRecord record, RowSet<Row> rows, PrimaryStatus status) {
        if (rows.size() == 0) {
            return Future.succeededFuture(null);
        }
        Row row = rows.iterator().next();
        if (!record.bodyHash().equals(row.getString(0))) {
            return Future.failedFuture(
                    new DatabaseFailure(
                            DatabaseFailure.Kind.REQUEST_ID_REUSED,
                            "",
                            "request "
                                    + record.requestId()
                                    + " was already used with another body"));
        }
        byte[] outcome = row.getString(1).getBytes(StandardCharsets.UTF_8);
        return Future.succeededFuture(
                new WriteResult(
                        outcome,
                        true,
                        status.position(),
                        status.replicasHolding(status.position())));
    }

    @Override
    public Future<WriteResult> changeSchema(WriteRequest request) {
        RowCollector collector = new RowCollector(request.limits());
        readingAccount = null;
        sessionAtDefaults = false;
        return connection
                .preparedQuery(Sql.selectTermCheck(request.term()))
                .execute()
                .recover(failure -> Future.failedFuture(translateTermCheckFailure(failure)))
                .compose(ignored -> runSimpleQuery(Sql.setReadWriteRole(request.account())))
                .recover(
                        failure ->
                                Future.failedFuture(PostgresFailures.translateRoleChange(failure)))
                .compose(
                        ignored -> {
                            commitPending = true;
                            return runSimpleQuery(request.statements().get(0).sql());
                        })
                .recover(failure -> Future.failedFuture(translate(failure, commitPending)))
                .compose(ignored -> primaryStatus())
                .map(
                        status ->
                                new WriteResult(
                                        ResultsJson.write(
                                                List.of(emptyResult(collector.new Batch()))),
                                        false,
                                        status.position(),
                                        status.replicasHolding(status.position())))
                .onComplete(ended -> commitPending = false);
    }

    private static StatementResult emptyResult(RowCollector.Batch batch) {
        return new StatementResult(List.of(), batch.bytes(), 0, 0);
    }

    // ---- interactive transactions ----

    @Override
    public Future<Void> begin(ClientAccountId account, long term) {
        Future<Void> begun = beginTransaction();
        Future<RowSet<Row>> checked = connection.preparedQuery(Sql.selectTermCheck(term)).execute();
        Future<Void> roleSet = runSimpleQuery(Sql.setLocalRole(account));
        return roleSet.transform(ignored -> begun)
                .compose(ignored -> checked)
                .recover(failure -> Future.failedFuture(translateTermCheckFailure(failure)))
                .compose(ignored -> roleSet)
                .recover(
                        failure ->
                                Future.failedFuture(PostgresFailures.translateRoleChange(failure)));
    }

    @Override
    public Future<StatementResult> execute(Statement statement, ResultLimits limits) {
        RowCollector collector = new RowCollector(limits);
        return run(statement, collector)
                .recover(failure -> Future.failedFuture(translate(failure, false)))
                .compose(
                        result ->
                                collector.overflowed()
                                        ? Future.failedFuture(resultTooLarge())
                                        : Future.succeededFuture(result));
    }

    @Override
    public Future<WriteResult> commit() {
        return commitAndReadStatus()
                .map(
                        status ->
                                new WriteResult(
                                        ResultsJson.write(List.of()),
                                        false,
                                        status.position(),
                                        status.replicasHolding(status.position())))
                .onFailure(failure -> usable = false);
    }

    @Override
    public Future<Void> rollback() {
        return runSimpleQuery(Sql.ROLLBACK).onFailure(failure -> usable = false);
    }

    // ---- status and administration ----

    private Future<Long> primaryPosition() {
        return connection.preparedQuery(Sql.PRIMARY_POSITION).execute().map(this::readPosition);
    }

    @Override
    public Future<Long> replicaPosition() {
        return connection.preparedQuery(Sql.REPLICA_POSITION).execute().map(this::readPosition);
    }

    private Long readPosition(RowSet<Row> rows) {
        return LogPosition.parse(rows.iterator().next().getString(0));
    }

    @Override
    public Future<PrimaryStatus> primaryStatus() {
        return connection
                .preparedQuery(Sql.PRIMARY_STATUS)
                .execute()
                .map(PostgresConnection::parsePrimaryStatus);
    }

    private static PrimaryStatus parsePrimaryStatus(RowSet<Row> rows) {
        long position = 0;
        long timeline = 0;
        List<Long> replicas = new ArrayList<>();
        for (Row row : rows) {
            if (row.getString(0) != null) {
                timeline = Long.parseLong(row.getString(0).substring(0, TIMELINE_CHARS), HEX);
                position = LogPosition.parse(row.getString(1));
            } else if (row.getString(2) != null) {
                replicas.add(LogPosition.parse(row.getString(2)));
            }
        }
        return new PrimaryStatus(position, timeline, replicas);
    }

    @Override
    public Future<MemberStatus> memberStatus() {
        return connection
                .preparedQuery(Sql.IS_REPLICA)
                .execute()
                .compose(
                        rows ->
                                rows.iterator().next().getBoolean(0)
                                        ? replicaMemberStatus()
                                        : primaryStatus().map(PostgresConnection::toMemberStatus));
    }

    private static MemberStatus toMemberStatus(PrimaryStatus status) {
        return new MemberStatus(true, status.timeline(), status.position());
    }

    private Future<MemberStatus> replicaMemberStatus() {
        return connection
                .preparedQuery(Sql.RECEIVED_POSITION)
                .execute()
                .map(
                        rows -> {
                            Row row = rows.iterator().next();
                            long received = LogPosition.parse(row.getString(0));
                            long replayed = LogPosition.parse(row.getString(1));
                            return new MemberStatus(false, 0, Math.max(received, replayed));
                        });
    }

    @Override
    public Future<MemberStatus> promote(PromotionOrder order) {
        return connection
                .preparedQuery(Sql.IS_REPLICA)
                .execute()
                .compose(
                        rows ->
                                rows.iterator().next().getBoolean(0)
                                        ? runSimpleQuery(Sql.PROMOTE)
                                        : Future.succeededFuture())
                .compose(ignored -> memberStatus());
    }

    @Override
    public Future<Void> follow(String host, int port) {
        return runSimpleQuery(Sql.setPrimaryConninfo(host, port, group.toString()))
                .compose(ignored -> runSimpleQuery(Sql.RELOAD_CONFIGURATION));
    }

    @Override
    public Future<Void> stopReplication(long term) {
        return runSimpleQuery(Sql.CLEAR_PRIMARY_CONNINFO)
                .compose(ignored -> runSimpleQuery(Sql.RELOAD_CONFIGURATION));
    }

    @Override
    public Future<Void> provision(List<ClientAccountId> accounts) {
        Future<Void> done =
                runSimpleQuery(Sql.CREATE_SCHEMA)
                        .compose(ignored -> runSimpleQuery(Sql.CREATE_REQUESTS))
                        .compose(ignored -> runSimpleQuery(Sql.CREATE_REQUESTS_INDEX));
        for (ClientAccountId account : accounts) {
            done =
                    done.compose(ignored -> runSimpleQuery(Sql.createRole(account)))
                            .recover(PostgresConnection::ignoreExistingRole)
                            .compose(ignored -> runSimpleQuery(Sql.grantRole(account)))
                            .compose(ignored -> runSimpleQuery(Sql.createSchema(account)));
        }
        return done;
    }

    private static Future<Void> ignoreExistingRole(Throwable failure) {
        boolean exists =
                failure instanceof PgException error && ROLE_EXISTS.equals(error.getSqlState());
        return exists ? Future.succeededFuture() : Future.failedFuture(failure);
    }

    @Override
    public Future<Integer> purgeRequests(long beforeUnixMillis, int atMost) {
        return connection
                .preparedQuery(Sql.DELETE_OLD_REQUESTS)
                .execute(Tuple.of(beforeUnixMillis, atMost))
                .map(SqlResult::rowCount);
    }

    private Future<Void> runSimpleQuery(String sql) {
        return connection.query(sql).execute().mapEmpty();
    }

    /** Translates a failure; marks the connection unusable when it may be lost. */
    private DatabaseFailure translate(Throwable failure, boolean commitSent) {
        DatabaseFailure translated = PostgresFailures.translate(failure, commitSent, group);
        boolean lost =
                translated.kind() == DatabaseFailure.Kind.LOST_BEFORE_COMMIT
                        || translated.kind() == DatabaseFailure.Kind.LOST_AFTER_COMMIT;
        if (lost) {
            usable = false;
        }
        return translated;
    }

    private Throwable translateTermCheckFailure(Throwable failure) {
        return PostgresFailures.translateTermCheck(failure, group);
    }

    @Override
    public boolean usable() {
        return usable;
    }

    @Override
    public void close() {
        usable = false;
        if (connection instanceof SqlConnectionInternal internal
                && internal.unwrap() instanceof SocketConnectionBase socket) {
            socket.socket().close();
            return;
        }
        connection.close();
    }

    @Override
    public boolean commitPending() {
        return commitPending;
    }

    void onClosed() {
        usable = false;
    }

    @Override
    public long highestReadPosition() {
        return highestReadPosition;
    }

    @Override
    public ClientAccountId readingAccount() {
        return readingAccount;
    }
}
