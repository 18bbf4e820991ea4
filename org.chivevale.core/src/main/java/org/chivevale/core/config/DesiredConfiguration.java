package org.chivevale.core.config;

import java.util.List;

/**
 * A whole configuration that an operator wants in place of the one in force.
 *
 * <p>Immutable. Invariant: it has been checked; every route names a database that it contains.
 *
 * @param version orders what operators want; the highest counts
 * @param routes all routes
 * @param databases all databases
 * @param accounts all client accounts
 * @param keys all their keys
 * @param limits how long sessions may rest
 * @param source what the operator sent, to be read back
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
