package org.chivevale.control.internal.intent;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Account;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Route;
import org.chivevale.core.util.Checks;
import org.chivevale.wire.proto.AccountPut;
import org.chivevale.wire.proto.Change;

/**
 * Computes the changes of intents that create or change a client account.
 *
 * <p>Invariant: an account limited to named databases shares a region with each route to one of
 * them. Not thread safe.
 */
final class AccountPlanner {
    private static final double MIN_RATE = 0.001;
    private static final double MAX_RATE = 1e6;
    private static final int MAX_BURST = 1_000_000;
    private static final int DEFAULT_OBJECTIVE_MILLIS = 100;
    private static final int MAX_OBJECTIVE_MILLIS = 600_000;
    private static final Set<String> FIELDS =
            Set.of(
                    "account",
                    "rate_per_second",
                    "burst",
                    "databases",
                    "latency_objective_ms",
                    "allowed_regions");

    private final Configuration configuration;

    AccountPlanner(Configuration configuration) {
        this.configuration = configuration;
    }

    PlannedChanges create(Intent intent) {
        intent.rejectUnknownFields(FIELDS);
        ClientAccountId id =
                new ClientAccountId(Checks.name("client account", intent.text("account")));
        if (configuration.account(id) != null) {
            throw Intent.invalid("client account '" + id + "' already exists");
        }
        Account created =
                new Account(
                        id,
                        intent.decimal("rate_per_second", MIN_RATE, MAX_RATE),
                        intent.number("burst", 1, MAX_BURST),
                        Set.copyOf(intent.texts("databases")),
                        intent.number(
                                "latency_objective_ms",
                                DEFAULT_OBJECTIVE_MILLIS,
                                1,
                                MAX_OBJECTIVE_MILLIS),
                        intent.regions(AllowedRegions.ANY));
        return put(created, "create client account ", intent);
    }

    PlannedChanges change(Intent intent) {
        intent.rejectUnknownFields(FIELDS);
        ClientAccountId id = new ClientAccountId(intent.text("account"));
        Account before = configuration.account(id);
        if (before == null) {
            throw Intent.invalid("client account '" + id + "' does not exist");
        }
        Account changed =
                new Account(
                        id,
                        intent.decimal(
                                "rate_per_second", before.ratePerSecond(), MIN_RATE, MAX_RATE),
                        intent.number("burst", before.burst(), 1, MAX_BURST),
                        intent.has("databases")
                                ? Set.copyOf(intent.texts("databases"))
                                : before.databases(),
                        intent.number(
                                "latency_objective_ms",
                                before.latencyObjectiveMillis(),
                                1,
                                MAX_OBJECTIVE_MILLIS),
                        intent.regions(before.allowedRegions()));
        return put(changed, "change client account ", intent);
    }

    private PlannedChanges put(Account account, String verb, Intent intent) {
        for (String database : account.databases()) {
            if (configuration.database(database) == null) {
                throw Intent.invalid("database '" + database + "' does not exist");
            }
        }
        configuration.routes().forEach(route -> requireCommonRegion(account, route));
        List<String> databases = List.copyOf(new TreeSet<>(account.databases()));
        List<String> regions = account.allowedRegions().toList();
        AccountPut put =
                AccountPut.newBuilder()
                        .setAccountId(account.id().value())
                        .setRatePerSecond(account.ratePerSecond())
                        .setBurst(account.burst())
                        .addAllDatabases(databases)
                        .setLatencyObjectiveMillis(account.latencyObjectiveMillis())
                        .addAllAllowedRegions(regions)
                        .build();
        return PlannedChanges.of(
                Change.newBuilder().setAccountPut(put),
                verb
                        + account.id()
                        + ": rate "
                        + account.ratePerSecond()
                        + "/s, burst "
                        + account.burst()
                        + ", databases "
                        + databases
                        + ", objective "
                        + account.latencyObjectiveMillis()
                        + " ms"
                        + (regions.isEmpty() ? "" : ", regions " + regions),
                IntentPlanner.touchedObject(intent));
    }

    /**
     * Rejects a route and an account whose regions exclude each other, if the account is limited to
     * databases of which the route leads to one. An account without named databases is not bound to
     * any route.
     */
    static void requireCommonRegion(Account account, Route route) {
        boolean excluded =
                account.databases().contains(route.database())
                        && route.allowedRegions().intersect(account.allowedRegions()).isEmpty();
        if (excluded) {
            throw Intent.invalid(
                    "client account '"
                            + account.id()
                            + "' permits the regions "
                            + account.allowedRegions().toList()
                            + ", route '"
                            + route.name()
                            + "' to its database '"
                            + route.database()
                            + "' only "
                            + route.allowedRegions().toList());
        }
    }
}
