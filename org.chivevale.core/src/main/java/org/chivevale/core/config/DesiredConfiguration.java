package org.chivevale.core.config;

import java.util.List;
import org.chivevale.wire.proto.Change;

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
    /**
     * Maximum of {@link #storedBytes}. An entry of the log that replaces a configuration of this
     * size by another, and a snapshot of one, fit in a frame between processes.
     */
    public static final int MAX_STORED_BYTES = 7 << 20;

    public DesiredConfiguration {
        routes = List.copyOf(routes);
        databases = List.copyOf(databases);
        accounts = List.copyOf(accounts);
        keys = List.copyOf(keys);
    }

    /**
     * Returns how much the configuration takes in the log and in a snapshot.
     *
     * @return the size of its source and of all that was decoded, in bytes
     */
    public long storedBytes() {
        return new ConfigurationDiff(new Configuration(), this)
                .computeChanges().stream().mapToLong(Change::getSerializedSize).sum();
    }
}
