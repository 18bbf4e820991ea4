package org.chivevale.database;

/**
 * Options for opening connections to PostgreSQL endpoints.
 *
 * <p>Immutable.
 *
 * @param user the login role
 * @param password its password
 * @param connectTimeoutMillis maximum duration of an attempt to connect
 */
public record PostgresConnectorOptions(String user, String password, int connectTimeoutMillis) {
    @Override
    public String toString() {
        return "user " + user;
    }
}
