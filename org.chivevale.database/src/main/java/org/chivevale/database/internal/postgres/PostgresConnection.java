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
import org.chivevale.database.AnswerLimits;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.MemberStatus;
import org.chivevale.database.PrimaryStatus;
import org.chivevale.database.PromotionOrder;
import org.chivevale.database.ReadAnswer;
import org.chivevale.database.RequestRecord;
import org.chivevale.database.ResultsJson;
import org.chivevale.database.Statement;
import org.chivevale.database.StatementResult;
import org.chivevale.database.WriteAnswer;
import org.chivevale.database.WriteRequest;

/**
 * A connection to a PostgreSQL endpoint.
 *
 * <p>Statements that belong together are pipelined. Invariants: a statement of a caller is only
 * sent after the role of its client account is known to be in force, or in a transaction that fails
 * with the change of role; a commit is only sent after every statement before it has succeeded, so
 * a failure before that has no effect. Used on one event loop.
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
    private boolean rolePristine = true;
    private long lastPosition;
    private boolean commitPending;

    PostgresConnection(PgConnection connection, GroupId group) {
        this.connection = connection;
        this.group = group;
    }

    // ---- reads ----

    @Override
    public Future<ReadAnswer> read(
            ClientAccountId account,
            List<Statement> statements,
            boolean atPrimary,
            long requiredPosition,
            AnswerLimits limits) {
        if (account.equals(readingAccount)) {
            return readInRole(statements, atPrimary, requiredPosition, limits);
        }
        readingAccount = null;
        rolePristine = false;
        return simple(Sql.readAs(account))
                .recover(failure -> Future.failedFuture(PostgresFailures.ofRole(failure)))
                .compose(
                        ignored -> {
                            readingAccount = account;
                            return readInRole(statements, atPrimary, requiredPosition, limits);
                        });
    }

    private Future<ReadAnswer> readInRole(
            List<Statement> statements,
            boolean atPrimary,
            long requiredPosition,
            AnswerLimits limits) {
        boolean mustCheck = !atPrimary && requiredPosition > lastPosition;
        Future<Long> before = mustCheck ? replicaPosition() : Future.succeededFuture(lastPosition);
        RowCollector collector = new RowCollector(limits);
        List<Future<StatementResult>> running = runAll(statements, collector);
        Future<Long> after = atPrimary ? primaryPosition() : replicaPosition();
        return Future.join(running)
                .transform(ignored -> before)
                .compose(
                        position -> {
                            if (mustCheck && position < requiredPosition) {
                                return Future.succeededFuture(new ReadAnswer(List.of(), position));
                            }
                            return results(running, collector)
                                    .compose(results -> after.map(end -> answer(results, end)));
                        })
                .recover(failure -> Future.failedFuture(translate(failure, false)));
    }

    private ReadAnswer answer(List<StatementResult> results, long position) {
        lastPosition = Math.max(lastPosition, position);
        return new ReadAnswer(results, position);
    }

    private List<Future<StatementResult>> runAll(
            List<Statement> statements, RowCollector collector) {
        List<Future<StatementResult>> running = new ArrayList<>();
        for (Statement statement : statements) {
            running.add(run(statement, collector));
        }
        return running;
    }

    private Future<List<StatementResult>> results(
            List<Future<StatementResult>> running, RowCollector collector) {
        List<StatementResult> results = new ArrayList<>();
        for (Future<StatementResult> one : running) {
            if (one.failed()) {
                return Future.failedFuture(one.cause());
            }
            results.add(one.result());
        }
        return collector.overflowed()
                ? Future.failedFuture(tooLarge())
                : Future.succeededFuture(results);
    }

    private static DatabaseFailure tooLarge() {
        return new DatabaseFailure(
                DatabaseFailure.Kind.ANSWER_TOO_LARGE, "", "the answer is above its limits");
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
                .map(result -> result(result, batch));
    }

    private static StatementResult result(
            SqlResult<RowCollector.Batch> result, RowCollector.Batch batch) {
        List<String> columns = result.columnsNames() == null ? List.of() : result.columnsNames();
        int affected = columns.isEmpty() ? result.rowCount() : 0;
        return new StatementResult(columns, batch.bytes(), batch.count(), affected);
    }

    // ---- one-shot writes ----

    @Override
    public Future<WriteAnswer> write(WriteRequest request) {
        RowCollector collector = new RowCollector(request.limits());
        Future<Void> begun = beginUnguarded();
        Future<?> recorded = recordOrCheck(request);
        Future<Void> entered = simple(Sql.enterRole(request.account()));
        List<Future<StatementResult>> running = runAll(request.statements(), collector);
        return Future.join(running)
                .transform(ignored -> begun)
                .compose(ignored -> recorded)
                .recover(failure -> Future.failedFuture(guardFailure(failure)))
                .compose(ignored -> entered)
                .recover(failure -> Future.failedFuture(PostgresFailures.ofRole(failure)))
                .compose(ignored -> results(running, collector))
                .compose(results -> finish(request, ResultsJson.write(results)))
                .recover(failure -> afterFailedWrite(request, failure));
    }

    private Future<Void> beginUnguarded() {
        readingAccount = null;
        if (rolePristine) {
            return simple(Sql.BEGIN);
        }
        return simple(Sql.RESET_AND_BEGIN).onSuccess(ignored -> rolePristine = true);
    }

    private Future<?> recordOrCheck(WriteRequest request) {
        RequestRecord record = request.record();
        if (record == null) {
            return connection.preparedQuery(Sql.checkTerm(request.term())).execute();
        }
        Tuple values =
                Tuple.of(
                        request.account().value(),
                        record.requestId(),
                        record.bodyHash(),
                        record.createdUnixMillis());
        return connection.preparedQuery(Sql.recordRequest(request.term())).execute(values);
    }

    private Future<WriteAnswer> finish(WriteRequest request, byte[] resultsJson) {
        Future<?> stored = Future.succeededFuture();
        if (request.record() != null) {
            Future<Void> left = simple(Sql.LEAVE_ROLE);
            Future<RowSet<Row>> update =
                    connection
                            .preparedQuery(Sql.STORE_OUTCOME)
                            .execute(
                                    Tuple.of(
                                            request.account().value(),
                                            request.record().requestId(),
                                            new String(resultsJson, StandardCharsets.UTF_8)));
            stored = left.compose(ignored -> update);
        }
        return stored.compose(ignored -> commitAndAsk())
                .map(
                        status ->
                                new WriteAnswer(
                                        resultsJson,
                                        false,
                                        status.position(),
                                        status.replicasHolding(status.position())));
    }

    private Future<PrimaryStatus> commitAndAsk() {
        commitPending = true;
        Future<Void> committed =
                simple(Sql.COMMIT)
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

    private Future<WriteAnswer> afterFailedWrite(WriteRequest request, Throwable failure) {
        Throwable translated = translate(failure, false);
        if (!usable) {
            return Future.failedFuture(translated);
        }
        return simple(Sql.ROLLBACK)
                .recover(
                        lost -> {
                            usable = false;
                            return Future.succeededFuture();
                        })
                .compose(ignored -> outcomeAfterRollback(request, translated));
    }

    private Future<WriteAnswer> outcomeAfterRollback(WriteRequest request, Throwable failure) {
        boolean mayBeRepeat =
                request.record() != null
                        && usable
                        && failure instanceof DatabaseFailure refused
                        && refused.kind() == DatabaseFailure.Kind.STATEMENT
                        && refused.sqlState().equals(UNIQUE_VIOLATION);
        if (!mayBeRepeat) {
            return Future.failedFuture(failure);
        }
        return findRequest(request)
                .compose(
                        found ->
                                found == null
                                        ? Future.failedFuture(failure)
                                        : Future.succeededFuture(found))
                .recover(other -> Future.failedFuture(translate(other, false)));
    }

    private Future<WriteAnswer> findRequest(WriteRequest request) {
        RequestRecord record = request.record();
        Future<RowSet<Row>> row =
                connection
                        .preparedQuery(Sql.FIND_REQUEST)
                        .execute(Tuple.of(request.account().value(), record.requestId()));
        Future<PrimaryStatus> status = primaryStatus();
        return row.compose(rows -> status.compose(now -> repeated(record, rows, now)));
    }

    private Future<WriteAnswer> repeated(
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
                            "request " + record.requestId() + " came before with another body"));
        }
        byte[] outcome = row.getString(1).getBytes(StandardCharsets.UTF_8);
        return Future.succeededFuture(
                new WriteAnswer(
                        outcome,
                        true,
                        status.position(),
                        status.replicasHolding(status.position())));
    }

    @Override
    public Future<WriteAnswer> changeSchema(WriteRequest request) {
        RowCollector collector = new RowCollector(request.limits());
        readingAccount = null;
        rolePristine = false;
        return connection
                .preparedQuery(Sql.checkTerm(request.term()))
                .execute()
                .recover(failure -> Future.failedFuture(guardFailure(failure)))
                .compose(ignored -> simple(Sql.writeAs(request.account())))
                .recover(failure -> Future.failedFuture(PostgresFailures.ofRole(failure)))
                .compose(
                        ignored -> {
                            commitPending = true;
                            return simple(request.statements().get(0).sql());
                        })
                .recover(failure -> Future.failedFuture(translate(failure, commitPending)))
                .compose(ignored -> primaryStatus())
                .map(
                        status ->
                                new WriteAnswer(
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
        Future<Void> begun = beginUnguarded();
        Future<RowSet<Row>> checked = connection.preparedQuery(Sql.checkTerm(term)).execute();
        Future<Void> entered = simple(Sql.enterRole(account));
        return entered.transform(ignored -> begun)
                .compose(ignored -> checked)
                .recover(failure -> Future.failedFuture(guardFailure(failure)))
                .compose(ignored -> entered)
                .recover(failure -> Future.failedFuture(PostgresFailures.ofRole(failure)));
    }

    @Override
    public Future<StatementResult> execute(Statement statement, AnswerLimits limits) {
        RowCollector collector = new RowCollector(limits);
        return run(statement, collector)
                .recover(failure -> Future.failedFuture(translate(failure, false)))
                .compose(
                        result ->
                                collector.overflowed()
                                        ? Future.failedFuture(tooLarge())
                                        : Future.succeededFuture(result));
    }

    @Override
    public Future<WriteAnswer> commit() {
        return commitAndAsk()
                .map(
                        status ->
                                new WriteAnswer(
                                        ResultsJson.write(List.of()),
                                        false,
                                        status.position(),
                                        status.replicasHolding(status.position())))
                .onFailure(failure -> usable = false);
    }

    @Override
    public Future<Void> rollback() {
        return simple(Sql.ROLLBACK).onFailure(failure -> usable = false);
    }

    // ---- status and administration ----

    private Future<Long> primaryPosition() {
        return connection.preparedQuery(Sql.PRIMARY_POSITION).execute().map(this::position);
    }

    @Override
    public Future<Long> replicaPosition() {
        return connection.preparedQuery(Sql.REPLICA_POSITION).execute().map(this::position);
    }

    private Long position(RowSet<Row> rows) {
        return LogPosition.parse(rows.iterator().next().getString(0));
    }

    @Override
    public Future<PrimaryStatus> primaryStatus() {
        return connection
                .preparedQuery(Sql.PRIMARY_STATUS)
                .execute()
                .map(PostgresConnection::readStatus);
    }

    private static PrimaryStatus readStatus(RowSet<Row> rows) {
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
                                        ? replicaMember()
                                        : primaryStatus().map(PostgresConnection::primaryMember));
    }

    private static MemberStatus primaryMember(PrimaryStatus status) {
        return new MemberStatus(true, status.timeline(), status.position());
    }

    private Future<MemberStatus> replicaMember() {
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
                                        ? simple(Sql.PROMOTE)
                                        : Future.succeededFuture())
                .compose(ignored -> memberStatus());
    }

    @Override
    public Future<Void> follow(String host, int port) {
        return simple(Sql.follow(host, port, group.toString()))
                .compose(ignored -> simple(Sql.RELOAD));
    }

    @Override
    public Future<Void> cutOff(long term) {
        return simple(Sql.FOLLOW_NOBODY).compose(ignored -> simple(Sql.RELOAD));
    }

    @Override
    public Future<Void> provision(List<ClientAccountId> accounts) {
        Future<Void> done =
                simple(Sql.CREATE_SCHEMA)
                        .compose(ignored -> simple(Sql.CREATE_REQUESTS))
                        .compose(ignored -> simple(Sql.CREATE_REQUESTS_INDEX));
        for (ClientAccountId account : accounts) {
            done =
                    done.compose(ignored -> simple(Sql.createRole(account)))
                            .recover(PostgresConnection::ignoreExistingRole)
                            .compose(ignored -> simple(Sql.grantRole(account)))
                            .compose(ignored -> simple(Sql.createSchema(account)));
        }
        return done;
    }

    private static Future<Void> ignoreExistingRole(Throwable failure) {
        boolean exists =
                failure instanceof PgException refused && ROLE_EXISTS.equals(refused.getSqlState());
        return exists ? Future.succeededFuture() : Future.failedFuture(failure);
    }

    @Override
    public Future<Integer> purgeRequests(long beforeUnixMillis, int atMost) {
        return connection
                .preparedQuery(Sql.PURGE)
                .execute(Tuple.of(beforeUnixMillis, atMost))
                .map(SqlResult::rowCount);
    }

    private Future<Void> simple(String sql) {
        return connection.query(sql).execute().mapEmpty();
    }

    /** Translates a failure; one that leaves a doubt makes the connection unusable. */
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

    private Throwable guardFailure(Throwable failure) {
        return PostgresFailures.ofGuard(failure, group);
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

    void closed() {
        usable = false;
    }

    @Override
    public long lastPosition() {
        return lastPosition;
    }

    @Override
    public ClientAccountId readingAccount() {
        return readingAccount;
    }
}
