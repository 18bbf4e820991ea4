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
import org.chivevale.database.CommitProgress;
import org.chivevale.database.CommitState;
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
 * an earlier failure has no effect; no commit is sent once the connection was closed; every failure
 * is a {@link DatabaseFailure}. Used on one event loop.
 */
final class PostgresConnection implements DatabaseConnection {
    private static final String UNIQUE_VIOLATION = "23505";

    private final PgConnection connection;
    private final GroupId group;
    private final PostgresAdministration administration;
    private final CommitProgress commitProgress = new CommitProgress();
    private boolean usable = true;
    private ClientAccountId readingAccount;
    private boolean sessionAtDefaults = true;
    private long highestReadPosition;

    PostgresConnection(PgConnection connection, GroupId group) {
        this.connection = connection;
        this.group = group;
        this.administration = new PostgresAdministration(connection);
    }

    // ---- reads ----

    @Override
    public Future<ReadResult> read(
            ClientAccountId account,
            List<Statement> statements,
            boolean atPrimary,
            long requiredPosition,
            ResultLimits limits) {
        commitProgress.begin();
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
                        })
                .recover(this::translated);
    }

    private Future<ReadResult> readWithCurrentRole(
            List<Statement> statements,
            boolean atPrimary,
            long requiredPosition,
            ResultLimits limits) {
        boolean mustCheckPosition = !atPrimary && requiredPosition > highestReadPosition;
        Future<Long> before =
                mustCheckPosition
                        ? administration.replicaPosition()
                        : Future.succeededFuture(highestReadPosition);
        RowCollector collector = new RowCollector(limits);
        List<Future<StatementResult>> running = runAll(statements, collector);
        Future<Long> after =
                atPrimary ? administration.primaryPosition() : administration.replicaPosition();
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
                .recover(this::translated);
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
        Future<?> recorded =
                recordRequestOrCheckTerm(request)
                        .onFailure(failure -> noteEarlierCommit(request, failure));
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

    /** Notes that the request's record exists, so an earlier attempt has committed. */
    private void noteEarlierCommit(WriteRequest request, Throwable failure) {
        boolean isRecorded =
                request.record() != null
                        && failure instanceof PgException error
                        && UNIQUE_VIOLATION.equals(error.getSqlState());
        if (isRecorded) {
            commitProgress.onEarlierCommitFound();
        }
    }

    private Future<Void> beginTransaction() {
        commitProgress.begin();
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
        if (!commitProgress.trySend()) {
            return Future.failedFuture(
                    new DatabaseFailure(
                            DatabaseFailure.Kind.LOST_BEFORE_COMMIT,
                            "",
                            "the connection was closed before the commit was sent"));
        }
        Future<Void> committed =
                runSimpleQuery(Sql.COMMIT)
                        .onSuccess(ignored -> commitProgress.onConfirmed())
                        .recover(this::translatedCommitFailure);
        Future<PrimaryStatus> status =
                administration
                        .primaryStatus()
                        .recover(
                                failure ->
                                        Future.failedFuture(
                                                new DatabaseFailure(
                                                        DatabaseFailure.Kind.LOST_AFTER_COMMIT,
                                                        "",
                                                        "lost after commit: " + failure)));
        return committed.compose(ignored -> status);
    }

    private <T> Future<T> translatedCommitFailure(Throwable failure) {
        DatabaseFailure translated = translate(failure);
        if (translated.kind() == DatabaseFailure.Kind.STATEMENT) {
            commitProgress.onRejected();
        }
        return Future.failedFuture(translated);
    }

    private Future<WriteResult> rollBackFailedWrite(WriteRequest request, Throwable failure) {
        if (commitProgress.state() == CommitState.COMMITTED_EARLIER) {
            return runSimpleQuery(Sql.ROLLBACK)
                    .compose(ignored -> findRecordedOutcome(request))
                    .recover(this::translated);
        }
        DatabaseFailure translated = translate(failure);
        if (!usable) {
            return Future.failedFuture(translated);
        }
        return runSimpleQuery(Sql.ROLLBACK)
                .onFailure(lost -> usable = false)
                .transform(ignored -> Future.failedFuture(translated));
    }

    private Future<WriteResult> findRecordedOutcome(WriteRequest request) {
        RequestRecord record = request.record();
        Future<RowSet<Row>> row =
                connection
                        .preparedQuery(Sql.FIND_REQUEST)
                        .execute(Tuple.of(request.account().value(), record.requestId()));
        Future<PrimaryStatus> status = administration.primaryStatus();
        return row.compose(rows -> status.compose(now -> toRepeatedResult(record, rows, now)));
    }

    private Future<WriteResult> toRepeatedResult(
            RequestRecord record, RowSet<Row> rows, PrimaryStatus status) {
        if (rows.size() == 0) {
            return Future.failedFuture(
                    new DatabaseFailure(
                            DatabaseFailure.Kind.LOST_AFTER_COMMIT,
                            "",
                            "the outcome of request " + record.requestId() + " was removed"));
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
        commitProgress.begin();
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
                .compose(ignored -> runSchemaChange(request.statements().get(0).sql()))
                .compose(ignored -> administration.primaryStatus())
                .map(
                        status ->
                                new WriteResult(
                                        ResultsJson.write(
                                                List.of(emptyResult(collector.new Batch()))),
                                        false,
                                        status.position(),
                                        status.replicasHolding(status.position())))
                .recover(this::translated);
    }

    /** Runs a schema change, which commits by itself. */
    private Future<Void> runSchemaChange(String sql) {
        if (!commitProgress.trySend()) {
            return Future.failedFuture(
                    new DatabaseFailure(
                            DatabaseFailure.Kind.LOST_BEFORE_COMMIT,
                            "",
                            "the connection was closed before the statement was sent"));
        }
        return runSimpleQuery(sql)
                .onSuccess(ignored -> commitProgress.onConfirmed())
                .recover(this::translatedCommitFailure);
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
                                Future.failedFuture(PostgresFailures.translateRoleChange(failure)))
                .recover(this::translated);
    }

    @Override
    public Future<StatementResult> execute(Statement statement, ResultLimits limits) {
        RowCollector collector = new RowCollector(limits);
        return run(statement, collector)
                .recover(this::<StatementResult>translated)
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
        return runSimpleQuery(Sql.ROLLBACK)
                .onFailure(failure -> usable = false)
                .recover(this::translated);
    }

    // ---- status and administration ----

    @Override
    public Future<Long> replicaPosition() {
        return administration.replicaPosition().recover(this::translated);
    }

    @Override
    public Future<PrimaryStatus> primaryStatus() {
        return administration.primaryStatus().recover(this::translated);
    }

    @Override
    public Future<MemberStatus> memberStatus() {
        return administration.memberStatus().recover(this::translated);
    }

    @Override
    public Future<MemberStatus> promote(PromotionOrder order) {
        return administration.promote().recover(this::translated);
    }

    @Override
    public Future<Void> follow(String host, int port) {
        return administration.follow(host, port, group).recover(this::translated);
    }

    @Override
    public Future<Void> stopReplication(long term) {
        return administration.stopReplication().recover(this::translated);
    }

    @Override
    public Future<Void> provision(List<ClientAccountId> accounts) {
        return administration.provision(accounts).recover(this::translated);
    }

    @Override
    public Future<Integer> purgeRequests(long beforeUnixMillis, int atMost) {
        return administration.purgeRequests(beforeUnixMillis, atMost).recover(this::translated);
    }

    private Future<Void> runSimpleQuery(String sql) {
        return connection.query(sql).execute().mapEmpty();
    }

    private <T> Future<T> translated(Throwable failure) {
        return Future.failedFuture(translate(failure));
    }

    /** Translates a failure; marks the connection unusable when it may be lost. */
    private DatabaseFailure translate(Throwable failure) {
        DatabaseFailure translated =
                PostgresFailures.translate(failure, commitProgress.state(), group);
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
        commitProgress.abandon();
        if (connection instanceof SqlConnectionInternal internal
                && internal.unwrap() instanceof SocketConnectionBase socket) {
            socket.socket().close();
            return;
        }
        connection.close();
    }

    @Override
    public CommitState commitState() {
        return commitProgress.state();
    }

    void onClosed() {
        usable = false;
        commitProgress.abandon();
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
