package org.chivevale.load.baseline;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.pgclient.PgBuilder;
import io.vertx.pgclient.PgConnectOptions;
import io.vertx.sqlclient.Pool;
import io.vertx.sqlclient.PoolOptions;
import io.vertx.sqlclient.Row;
import io.vertx.sqlclient.RowSet;
import io.vertx.sqlclient.Tuple;
import java.nio.file.Path;
import org.chivevale.core.kernel.ProcessLifetime;
import org.chivevale.core.settings.HostPort;
import org.chivevale.core.settings.Settings;

/**
 * An HTTP server that runs one prepared read over a pool of PG connections, as the baseline.
 *
 * <p>It has no keys, sessions, rate limits or leases. Everything runs on one event loop, as in the
 * proxy.
 */
public final class BaselineServer {
    private BaselineServer() {}

    /**
     * Runs until the process receives a signal to stop.
     *
     * @param args {@code --settings FILE}
     */
    public static void main(String[] args) {
        Settings settings = Settings.read(Path.of(args[1]));
        HostPort listen = settings.address("listen");
        HostPort endpoint = settings.address("endpoint");
        PgConnectOptions connect =
                new PgConnectOptions()
                        .setHost(endpoint.host())
                        .setPort(endpoint.port())
                        .setDatabase(settings.text("group", "a group"))
                        .setUser("chivevale")
                        .setPassword(settings.text("password", "a text"))
                        .setCachePreparedStatements(true);
        int connections = settings.number("connections", 12, 1, 1000);
        String sql = settings.text("sql", "a statement");
        settings.check();
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        Pool pool =
                PgBuilder.pool()
                        .connectingTo(connect)
                        .with(new PoolOptions().setMaxSize(connections))
                        .using(vertx)
                        .build();
        vertx.createHttpServer(
                        new HttpServerOptions().setHost(listen.host()).setPort(listen.port()))
                .requestHandler(request -> serve(request, pool, sql))
                .listen();
        ProcessLifetime.runUntilStopped(() -> {});
    }

    private static void serve(HttpServerRequest request, Pool pool, String sql) {
        request.body()
                .compose(
                        body -> {
                            JsonArray parameters =
                                    new JsonObject(body)
                                            .getJsonArray("statements")
                                            .getJsonObject(0)
                                            .getJsonArray("parameters");
                            Tuple tuple = Tuple.tuple();
                            parameters.forEach(tuple::addValue);
                            return pool.preparedQuery(sql).execute(tuple);
                        })
                .compose(rows -> Future.succeededFuture(toJson(rows)))
                .onSuccess(json -> request.response().end(json.encode()))
                .onFailure(failure -> request.response().setStatusCode(500).end("{}"));
    }

    private static JsonObject toJson(RowSet<Row> rows) {
        JsonArray rowArrays = new JsonArray();
        for (Row row : rows) {
            rowArrays.add(new JsonArray().add(row.getValue(0)));
        }
        return new JsonObject()
                .put("code", 0)
                .put("results", new JsonArray().add(new JsonObject().put("rows", rowArrays)));
    }
}
