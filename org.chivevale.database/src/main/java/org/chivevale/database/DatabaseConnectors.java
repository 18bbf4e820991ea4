package org.chivevale.database;

import io.vertx.core.Vertx;
import org.chivevale.database.internal.postgres.PostgresConnector;

/**
 * Makes connectors for the kinds of databases that are known.
 *
 * <p>Stateless and thread safe.
 */
public final class DatabaseConnectors {
    private DatabaseConnectors() {}

    /**
     * Makes a connector for PostgreSQL endpoints.
     *
     * @param vertx runs the connections
     * @param options user and time limit
     * @return the connector
     */
    public static DatabaseConnector postgres(Vertx vertx, PostgresConnectorOptions options) {
        return new PostgresConnector(vertx, options);
    }
}
