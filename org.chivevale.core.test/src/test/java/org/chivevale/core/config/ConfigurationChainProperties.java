package org.chivevale.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.account.OpaqueKey;
import org.chivevale.core.group.GroupId;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.GroupState;
import org.chivevale.wire.proto.LogEntry;

/**
 * A route, key or service that an earlier configuration left behind, or that a later one lost, in a
 * process that applied the differences between them.
 */
class ConfigurationChainProperties {
    private static final int STEPS = 12;
    private static final int HOSTS = 4;
    private static final int KEYS = 8;

    /** Control, proxies and a proxy that joins late, with the log entries between them. */
    private static final class Processes {
        private final Random random;
        private final List<LogEntry> log = new ArrayList<>();
        private Configuration control = new Configuration();
        private Configuration proxy = new Configuration();

        Processes(Random random) {
            this.random = random;
        }

        void commit(List<Change> changes) {
            LogEntry entry =
                    LogEntry.newBuilder()
                            .setVersion(control.version() + 1)
                            .addAllChanges(changes)
                            .build();
            log.add(entry);
            control.apply(entry);
        }

        /** Restarts control from a snapshot, or brings the proxy up to date in one of two ways. */
        void disturb() {
            if (random.nextInt(3) == 0) {
                control = restored(control, false);
            }
            switch (random.nextInt(4)) {
                case 0 -> proxy.restore(control.snapshot(true));
                case 1 -> proxy = restored(control, true);
                case 2 -> log.forEach(proxy::apply);
                default -> log.stream().limit(random.nextInt(log.size() + 1)).forEach(proxy::apply);
            }
        }

        void catchUp() {
            log.forEach(proxy::apply);
        }
    }

    private static Configuration restored(Configuration from, boolean forProxy) {
        Configuration copy = new Configuration();
        copy.restore(from.snapshot(forProxy));
        return copy;
    }

    @Property(tries = 500, seed = "20261206")
    void afterAnyChainEachProcessHoldsTheNewestConfigurationAlone(@ForAll long seed) {
        Random random = new Random(seed);
        Processes processes = new Processes(random);
        long version = 0;
        for (int step = 0; step < STEPS; step++) {
            version += 1 + random.nextInt(5);
            DesiredConfiguration desired = random(random, version);
            processes.commit(new ConfigurationDiff(processes.control, desired).computeChanges());
            processes.commit(announcements(random, processes.control));
            processes.disturb();
            processes.catchUp();
            DesiredConfiguration older = random(random, 1 + random.nextInt((int) version));
            assertEquals(
                    List.of(), new ConfigurationDiff(processes.control, older).computeChanges());
            assertHoldsOnly(desired, processes.control, false);
            assertHoldsOnly(desired, processes.proxy, true);
            assertHoldsOnly(desired, restored(processes.control, true), true);
        }
    }

    /** Compares with a configuration that has never held anything else. */
    private static void assertHoldsOnly(
            DesiredConfiguration desired, Configuration held, boolean isProxy) {
        Configuration alone = new Configuration();
        alone.apply(
                LogEntry.newBuilder()
                        .setVersion(1)
                        .addAllChanges(new ConfigurationDiff(alone, desired).computeChanges())
                        .build());
        assertEquals(stored(alone, isProxy), stored(held, isProxy));
        for (int i = 0; i < HOSTS; i++) {
            assertEquals(alone.findRouteByHost("h" + i), held.findRouteByHost("h" + i));
            assertEquals(expectedRoute(desired, "h" + i), held.findRouteByHost("h" + i));
        }
        for (int i = 0; i < KEYS; i++) {
            StoredKey key = held.findOpaqueKey("key" + i);
            assertEquals(expectedAccount(desired, "key" + i), key == null ? null : key.account());
        }
        for (Group group : held.groups()) {
            assertEquals(true, alone.database(group.id().database()) != null, group.toString());
        }
        for (EndpointPut endpoint : held.endpoints()) {
            String database = GroupId.parse(endpoint.getGroupId()).database();
            assertEquals(true, alone.database(database) != null, database);
        }
    }

    /** Reads the route of a host from the desired configuration itself. */
    private static Route expectedRoute(DesiredConfiguration desired, String host) {
        Route found = null;
        for (Route route : desired.routes()) {
            boolean isOfHost = route.host().equals(host);
            boolean isShorter = found == null || route.prefix().length() < found.prefix().length();
            found = isOfHost && isShorter ? route : found;
        }
        return found;
    }

    private static ClientAccountId expectedAccount(DesiredConfiguration desired, String key) {
        return desired.keys().stream()
                .filter(each -> Arrays.equals(each.hash(), OpaqueKey.hash(key)))
                .map(StoredKey::account)
                .findFirst()
                .orElse(null);
    }

    /** Returns what a snapshot stores, without what endpoints and failovers have added. */
    private static Set<Change> stored(Configuration configuration, boolean isProxy) {
        Set<Change> changes = new HashSet<>();
        for (Change change : configuration.snapshot(isProxy).getChangesList()) {
            boolean isAdded =
                    change.hasEndpointPut()
                            || change.hasEndpointRemoved()
                            || change.hasGroupState()
                            || change.hasFailoverStep();
            if (!isAdded) {
                changes.add(change);
            }
        }
        return changes;
    }

    /** Registers endpoints and primaries of some databases in force. */
    private static List<Change> announcements(Random random, Configuration configuration) {
        List<Change> changes = new ArrayList<>();
        for (Database database : configuration.databases()) {
            String group = new GroupId(database.name(), 0).toString();
            for (int i = 0; i < random.nextInt(3); i++) {
                EndpointPut put =
                        EndpointPut.newBuilder()
                                .setGroupId(group)
                                .setEndpointId("e" + i)
                                .setIncarnation(1 + random.nextInt(3))
                                .build();
                changes.add(Change.newBuilder().setEndpointPut(put).build());
                changes.add(
                        Change.newBuilder()
                                .setGroupState(
                                        GroupState.newBuilder()
                                                .setGroupId(group)
                                                .setTerm(1 + random.nextInt(5))
                                                .setPrimaryEndpointId("e" + i)
                                                .setPrimaryHost("127.0.0.1")
                                                .setPrimaryPort(1))
                                .build());
            }
        }
        return changes;
    }

    private static DesiredConfiguration random(Random random, long version) {
        List<Database> databases = new ArrayList<>();
        for (String name : List.of("db", "db.0", "db/a", "Db")) {
            boolean isSynchronous = random.nextBoolean();
            if (random.nextInt(3) > 0) {
                int answers = isSynchronous ? 0 : 1;
                int limit = random.nextInt(2) * 20;
                databases.add(new Database(name, 1, isSynchronous, 2, limit, answers, 0));
            }
        }
        List<Account> accounts = new ArrayList<>();
        List<StoredKey> keys = new ArrayList<>();
        addAccounts(random, accounts, keys);
        return new DesiredConfiguration(
                version,
                databases.isEmpty() ? List.of() : randomRoutes(random, databases),
                databases,
                accounts,
                keys,
                new SessionLimits(1000 + random.nextInt(2), 15_000),
                ("source of " + version).getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    /** Names, hosts and prefixes are drawn apart from each other, so that they swap and return. */
    private static List<Route> randomRoutes(Random random, List<Database> databases) {
        List<String> names = new ArrayList<>(List.of("r0", "r1", "r2", "r3", "r4", "r5"));
        Collections.shuffle(names, random);
        List<Route> routes = new ArrayList<>();
        Set<String> used = new HashSet<>();
        for (String name : names) {
            String host = "h" + random.nextInt(HOSTS);
            String prefix = "/long/prefix".substring(0, 1 + random.nextInt(3) * 5);
            String database = databases.get(random.nextInt(databases.size())).name();
            if (random.nextInt(3) > 0 && used.add(host + " " + prefix)) {
                routes.add(
                        new Route(
                                name,
                                host,
                                prefix,
                                database,
                                ReadPolicy.values()[random.nextInt(3)],
                                1000 + random.nextInt(2),
                                400,
                                1,
                                1500,
                                random.nextBoolean(),
                                AllowedRegions.ANY));
            }
        }
        return routes;
    }

    /** Each key belongs to any of the accounts, or to none. */
    private static void addAccounts(Random random, List<Account> accounts, List<StoredKey> keys) {
        for (String name : List.of("a", "A", "a.0")) {
            if (random.nextInt(3) > 0) {
                ClientAccountId id = new ClientAccountId(name);
                int rate = 1 + random.nextInt(2);
                accounts.add(new Account(id, rate, 10, Set.of(), 0, AllowedRegions.ANY));
            }
        }
        for (int i = 0; i < KEYS && !accounts.isEmpty(); i++) {
            if (random.nextBoolean()) {
                byte[] hash = OpaqueKey.hash("key" + i);
                ClientAccountId owner = accounts.get(random.nextInt(accounts.size())).id();
                keys.add(new StoredKey(OpaqueKey.id(hash), owner, hash));
            }
        }
    }

    @Example
    void theCheckSeesARouteThatWasLeftBehind() {
        DesiredConfiguration desired = random(new Random(1), 1);
        Configuration held = new Configuration();
        List<Change> changes =
                new ArrayList<>(new ConfigurationDiff(held, desired).computeChanges());
        Set<Change> whole = new HashSet<>(changes);
        changes.removeIf(Change::hasRoutePut);
        held.apply(LogEntry.newBuilder().setVersion(1).addAllChanges(changes).build());
        assertNotEquals(whole, stored(held, false));
    }
}
