package org.chivevale.core.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.account.OpaqueKey;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.ConfigurationSnapshot;
import org.chivevale.wire.proto.LogEntry;

/** Replaces configurations with one another by applying the computed changes. */
class ConfigurationDiffProperties {
    @Property(tries = 300, seed = "20261204")
    void applyingTheChangesGivesExactlyTheDesiredConfiguration(@ForAll long seed) {
        Random random = new Random(seed);
        Configuration configuration = new Configuration();
        for (int version = 1; version <= 8; version++) {
            DesiredConfiguration desired = random(random, version);
            replace(configuration, desired);
            assertHolds(configuration, desired);
            Configuration copy = new Configuration();
            copy.restore(
                    configuration.snapshot(false).toBuilder()
                            .setVersion(configuration.version())
                            .build());
            assertHolds(copy, desired);
        }
    }

    @Example
    void anOlderOrEqualVersionChangesNothing() {
        Configuration configuration = new Configuration();
        replace(configuration, random(new Random(1), 5));
        assertTrue(
                new ConfigurationDiff(configuration, random(new Random(2), 5))
                        .computeChanges()
                        .isEmpty());
        assertTrue(
                new ConfigurationDiff(configuration, random(new Random(3), 4))
                        .computeChanges()
                        .isEmpty());
    }

    @Example
    void aSmallChangeOfALargeConfigurationIsSmall() {
        Configuration configuration = new Configuration();
        List<Route> routes = new ArrayList<>();
        Database database = new Database("db", 1, false, 3, 20, 1, 0);
        for (int i = 0; i < 400; i++) {
            routes.add(route("r" + i, "h" + i, "db", 1000));
        }
        replace(configuration, desired(1, routes, List.of(database)));
        routes.set(17, route("r17", "h17", "db", 1500));
        List<Change> changes =
                new ConfigurationDiff(configuration, desired(2, routes, List.of(database)))
                        .computeChanges();
        assertEquals(2, changes.size());
    }

    private static DesiredConfiguration desired(
            long version, List<Route> routes, List<Database> databases) {
        return new DesiredConfiguration(
                version, routes, databases, List.of(), List.of(), SessionLimits.DEFAULT, bytes(1));
    }

    private static byte[] bytes(long version) {
        return new byte[] {(byte) version};
    }

    private static Route route(String name, String host, String database, int timeoutMillis) {
        return new Route(
                name,
                host,
                "/",
                database,
                ReadPolicy.SESSION,
                timeoutMillis,
                500,
                1,
                1500,
                false,
                AllowedRegions.ANY);
    }

    private static DesiredConfiguration random(Random random, long version) {
        List<Database> databases = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            databases.add(new Database("db" + i, 1, false, 3, 20 + random.nextInt(2), 1, 0));
        }
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            if (random.nextBoolean()) {
                String host = "h" + random.nextInt(2) + i;
                routes.add(route("r" + i, host, "db" + random.nextInt(3), 1 + random.nextInt(3)));
            }
        }
        List<Account> accounts = new ArrayList<>();
        List<StoredKey> keys = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ClientAccountId id = new ClientAccountId("a" + i);
            if (random.nextBoolean()) {
                accounts.add(
                        new Account(
                                id, 1 + random.nextInt(3), 10, Set.of(), 0, AllowedRegions.ANY));
                byte[] hash = OpaqueKey.hash("key" + (i + random.nextInt(2) * 10));
                keys.add(new StoredKey(OpaqueKey.id(hash), id, hash));
            }
        }
        SessionLimits limits = new SessionLimits(1000 + random.nextInt(2), 15_000);
        return new DesiredConfiguration(
                version, routes, databases, accounts, keys, limits, bytes(version));
    }

    private static void replace(Configuration configuration, DesiredConfiguration desired) {
        List<Change> changes = new ConfigurationDiff(configuration, desired).computeChanges();
        configuration.apply(
                LogEntry.newBuilder()
                        .setVersion(configuration.version() + 1)
                        .addAllChanges(changes)
                        .build());
    }

    private static void assertHolds(Configuration configuration, DesiredConfiguration desired) {
        assertEquals(desired.version(), configuration.desiredVersion());
        assertArrayEquals(desired.source(), configuration.desired().getSource().toByteArray());
        assertEquals(new HashSet<>(desired.routes()), new HashSet<>(configuration.routes()));
        assertEquals(new HashSet<>(desired.accounts()), new HashSet<>(configuration.accounts()));
        assertEquals(desired.keys().size(), configuration.keys().size());
        for (StoredKey key : desired.keys()) {
            assertEquals(key.account(), configuration.key(key.id()).account());
        }
        assertEquals(desired.limits(), configuration.sessionLimits());
        for (Route route : desired.routes()) {
            assertNotNull(configuration.findRouteByHost(route.host()));
        }
        assertNull(configuration.findOpaqueKey("never"));
    }

    @Example
    void aSnapshotForProxiesOmitsTheSource() {
        Configuration configuration = new Configuration();
        replace(configuration, random(new Random(1), 5));
        ConfigurationSnapshot snapshot = configuration.snapshot(true);
        assertTrue(
                snapshot.getChangesList().stream()
                        .noneMatch(c -> c.getDesiredStored().getSource().size() > 0));
        assertTrue(
                snapshot.getChangesList().stream()
                        .anyMatch(c -> c.getDesiredStored().getVersion() == 5));
    }
}
