package org.chivevale.core.config;

import java.util.List;

/**
 * A complete configuration with which an operator replaces the one in force.
 *
 * <p>Immutable. Invariant: it has been validated; every route names a database that it contains.
 *
 * @param version the operator's version; only a higher one replaces the one in force
 * @param routes all routes
 * @param databases all databases
 * @param accounts all client accounts
 * @param keys all their keys
 * @param limits idle limits of sessions
 * @param source the text that the operator sent, which can be read back
 */
public record DesiredConfiguration(
        long version,
        List<Route> routes,
        List<Database> databases,
        List<Account> accounts,
        List<StoredKey> keys,
        SessionLimits limits,
        byte[] source) {
    public DesiredConfiguration {
        routes = List.copyOf(routes);
        databases = List.copyOf(databases);
        accounts = List.copyOf(accounts);
        keys = List.copyOf(keys);
    }
}
