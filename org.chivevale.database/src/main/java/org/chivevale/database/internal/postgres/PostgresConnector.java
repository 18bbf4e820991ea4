package org.chivevale.database.internal.postgres;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.pgclient.PgConnectOptions;
import io.vertx.pgclient.PgConnection;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.group.GroupId;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseConnector;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.PostgresConnectorOptions;

/**
 * Opens connections with the Vert.x PostgreSQL client.
 *
 * <p>Used on one event loop.
 */
public final class PostgresConnector implements DatabaseConnector {
    private static final int PIPELINING_LIMIT = 64;
    private static final int MAX_CACHED_STATEMENTS = 128;
    private static final int MAX_CACHED_STATEMENT_CHARS = 4096;

    private final Vertx vertx;
    private final PostgresConnectorOptions options;

    /**
     * Creates a connector.
     *
     * @param vertx runs the connections
     * @param options login role, password and connect timeout
     */
    public PostgresConnector(Vertx vertx, PostgresConnectorOptions options) {
        this.vertx = vertx;
        this.options = options;
    }

    @Override
    public Future<DatabaseConnection> connect(
            String host, int port, GroupId group, Runnable onClose) {
        PgConnectOptions connect =
                new PgConnectOptions()
                        .setHost(host)
                        .setPort(port)
                        .setDatabase(group.toString())
                        .setUser(options.user())
                        .setPassword(options.password())
                        .setPipeliningLimit(PIPELINING_LIMIT)
                        .setCachePreparedStatements(true)
                        .setPreparedStatementCacheMaxSize(MAX_CACHED_STATEMENTS)
                        .setPreparedStatementCacheSqlLimit(MAX_CACHED_STATEMENT_CHARS);
        Future<PgConnection> opening = PgConnection.connect(vertx, connect);
        return opening.timeout(options.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
                .onFailure(timeout -> opening.onSuccess(PgConnection::close))
                .map(opened -> wrap(opened, group, onClose))
                .recover(failure -> Future.failedFuture(connectFailure(host, port, failure)));
    }

    private static DatabaseFailure connectFailure(String host, int port, Throwable failure) {
        return new DatabaseFailure(
                DatabaseFailure.Kind.LOST_BEFORE_COMMIT,
                "",
                "cannot connect to " + host + ":" + port + ": " + failure.getMessage());
    }

    private static DatabaseConnection wrap(PgConnection opened, GroupId group, Runnable onClose) {
        PostgresConnection connection = new PostgresConnection(opened, group);
        opened.exceptionHandler(failure -> connection.onClosed());
        opened.closeHandler(
                ignored -> {
                    connection.onClosed();
                    onClose.run();
                });
        return connection;
    }
}
