package org.chivevale.database;

/**
 * How connections to PostgreSQL endpoints are opened.
 *
 * <p>Immutable.
 *
 * @param user the login role
 * @param password its password
 * @param connectTimeoutMillis how long an attempt may take
 */
public record PostgresConnectorOptions(String user, String password, int connectTimeoutMillis) {
    @Override
    public String toString() {
        return "user " + user;
    }
}
