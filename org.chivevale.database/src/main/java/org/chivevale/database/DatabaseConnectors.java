package org.chivevale.database;

import io.vertx.core.Vertx;
import org.chivevale.database.internal.postgres.PostgresConnector;

/**
 * Factory for the connectors of the supported kinds of databases.
 *
 * <p>Stateless and thread safe.
 */
public final class DatabaseConnectors {
    private DatabaseConnectors() {}

    /**
     * Creates a connector for PostgreSQL endpoints.
     *
     * @param vertx runs the connections
     * @param options login role, password and connect timeout
     * @return the connector
     */
    public static DatabaseConnector postgres(Vertx vertx, PostgresConnectorOptions options) {
        return new PostgresConnector(vertx, options);
    }
}
