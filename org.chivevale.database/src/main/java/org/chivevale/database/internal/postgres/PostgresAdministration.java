package org.chivevale.database.internal.postgres;

import io.vertx.core.Future;
import io.vertx.pgclient.PgConnection;
import io.vertx.pgclient.PgException;
import io.vertx.sqlclient.Row;
import io.vertx.sqlclient.RowSet;
import io.vertx.sqlclient.SqlResult;
import io.vertx.sqlclient.Tuple;
import java.util.ArrayList;
import java.util.List;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.LogPosition;
import org.chivevale.database.MemberStatus;
import org.chivevale.database.PrimaryStatus;

/**
 * Queries of log positions and administrative statements on a connection to PostgreSQL.
 *
 * <p>Failures are those of the client library. Stateless but for the connection; used on its event
 * loop.
 */
final class PostgresAdministration {
    private static final String ROLE_EXISTS = "42710";
    private static final int TIMELINE_CHARS = 8;
    private static final int HEX = 16;

    private final PgConnection connection;

    PostgresAdministration(PgConnection connection) {
        this.connection = connection;
    }

    Future<Long> primaryPosition() {
        return queryPosition(Sql.PRIMARY_POSITION);
    }

    Future<Long> replicaPosition() {
        return queryPosition(Sql.REPLICA_POSITION);
    }

    private Future<Long> queryPosition(String sql) {
        return connection
                .preparedQuery(sql)
                .execute()
                .map(rows -> LogPosition.parse(rows.iterator().next().getString(0)));
    }

    Future<PrimaryStatus> primaryStatus() {
        return connection
                .preparedQuery(Sql.PRIMARY_STATUS)
                .execute()
                .map(PostgresAdministration::parsePrimaryStatus);
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

    Future<MemberStatus> memberStatus() {
        return connection
                .preparedQuery(Sql.IS_REPLICA)
                .execute()
                .compose(
                        rows ->
                                rows.iterator().next().getBoolean(0)
                                        ? replicaMemberStatus()
                                        : primaryStatus()
                                                .map(PostgresAdministration::toMemberStatus));
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

    Future<MemberStatus> promote() {
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

    Future<Void> follow(String host, int port, GroupId group) {
        return runSimpleQuery(Sql.setPrimaryConninfo(host, port, group.toString()))
                .compose(ignored -> runSimpleQuery(Sql.RELOAD_CONFIGURATION));
    }

    Future<Void> stopReplication() {
        return runSimpleQuery(Sql.CLEAR_PRIMARY_CONNINFO)
                .compose(ignored -> runSimpleQuery(Sql.RELOAD_CONFIGURATION));
    }

    Future<Void> provision(List<ClientAccountId> accounts) {
        Future<Void> done =
                runSimpleQuery(Sql.CREATE_SCHEMA)
                        .compose(ignored -> runSimpleQuery(Sql.CREATE_REQUESTS))
                        .compose(ignored -> runSimpleQuery(Sql.CREATE_REQUESTS_INDEX));
        for (ClientAccountId account : accounts) {
            done =
                    done.compose(ignored -> runSimpleQuery(Sql.createRole(account)))
                            .recover(PostgresAdministration::ignoreExistingRole)
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

    Future<Integer> purgeRequests(long beforeUnixMillis, int atMost) {
        return connection
                .preparedQuery(Sql.DELETE_OLD_REQUESTS)
                .execute(Tuple.of(beforeUnixMillis, atMost))
                .map(SqlResult::rowCount);
    }

    private Future<Void> runSimpleQuery(String sql) {
        return connection.query(sql).execute().mapEmpty();
    }
}
