package org.chivevale.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.route.RegionExclusion;
import org.chivevale.wire.proto.AccountPut;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.RoutePut;

/**
 * Checks the regions of requests over generated configurations, as a proxy holds them. Guards
 * against a request that runs outside of the regions of its route or its account, and against a
 * rejection while a permitted endpoint is known.
 */
class AllowedRegionsProperties {
    private static final List<String> REGIONS = List.of("north", "south", "west");
    private static final String UNKNOWN_REGION = "";
    private static final int COUNT = 5;

    private final List<List<String>> ofRoutes = new ArrayList<>();
    private final List<List<String>> ofAccounts = new ArrayList<>();

    private static List<String> randomRegions(Random random) {
        List<String> regions = new ArrayList<>();
        if (random.nextInt(3) > 0) {
            REGIONS.stream().filter(region -> random.nextBoolean()).forEach(regions::add);
        }
        return regions;
    }

    private Configuration generate(Random random) {
        ofRoutes.clear();
        ofAccounts.clear();
        LogEntry.Builder entry = LogEntry.newBuilder().setVersion(1);
        for (int i = 0; i < COUNT; i++) {
            ofRoutes.add(randomRegions(random));
            ofAccounts.add(randomRegions(random));
            entry.addChanges(
                    Change.newBuilder()
                            .setRoutePut(
                                    RoutePut.newBuilder()
                                            .setName("r" + i)
                                            .setHost("h" + i)
                                            .setReadPolicy("BOUNDED")
                                            .addAllAllowedRegions(ofRoutes.get(i))));
            entry.addChanges(
                    Change.newBuilder()
                            .setAccountPut(
                                    AccountPut.newBuilder()
                                            .setAccountId("a" + i)
                                            .addAllAllowedRegions(ofAccounts.get(i))));
        }
        Configuration control = new Configuration();
        control.apply(entry.build());
        Configuration proxy = new Configuration();
        proxy.restore(control.snapshot(true));
        return proxy;
    }

    private static boolean permits(List<String> names, String region) {
        return names.isEmpty() || names.contains(region);
    }

    @Property(tries = 500, seed = "20261204")
    void aRequestRunsExactlyWhereRouteAndAccountBothPermit(@ForAll long seed) {
        Configuration configuration = generate(new Random(seed));
        for (int route = 0; route < COUNT; route++) {
            for (int account = 0; account < COUNT; account++) {
                AllowedRegions allowed =
                        AllowedRegions.ofRequest(
                                configuration,
                                configuration.route("r" + route),
                                new ClientAccountId("a" + account));
                boolean any = false;
                for (String region : REGIONS) {
                    boolean expected =
                            permits(ofRoutes.get(route), region)
                                    && permits(ofAccounts.get(account), region);
                    any |= expected;
                    assertEquals(expected, allowed.permits(region));
                }
                assertEquals(!any, allowed.isEmpty());
            }
        }
    }

    @Property(tries = 500, seed = "20261204")
    void aRequestIsRejectedAtOnceOnlyIfNoKnownEndpointIsPermitted(@ForAll long seed) {
        Random random = new Random(seed);
        Configuration configuration = generate(random);
        AllowedRegions allowed =
                AllowedRegions.ofRequest(
                        configuration,
                        configuration.route("r" + random.nextInt(COUNT)),
                        new ClientAccountId("a" + random.nextInt(COUNT)));
        List<String> members = randomRegions(random);
        boolean mayRunAtMember = members.stream().anyMatch(allowed::permits);
        boolean mustReject = allowed.isEmpty() || !members.isEmpty() && !mayRunAtMember;
        assertEquals(mustReject, RegionExclusion.atMembers(allowed, members) != null);
        for (String region : REGIONS) {
            boolean rejected = RegionExclusion.atPrimary(allowed, region) != null;
            assertEquals(!allowed.permits(region), rejected);
        }
        boolean rejectedUnknown = RegionExclusion.atPrimary(allowed, UNKNOWN_REGION) != null;
        assertEquals(allowed.isEmpty(), rejectedUnknown);
    }

    /** Guards against a restriction that also admits endpoints whose region is not known. */
    @Example
    void anUnknownRegionIsPermittedOnlyWithoutARestriction() {
        assertFalse(AllowedRegions.of(REGIONS).permits(UNKNOWN_REGION));
        assertEquals(true, AllowedRegions.ANY.permits(UNKNOWN_REGION));
    }

    /** Guards against a restriction of callers without an account, who have no entry. */
    @Example
    void anAccountThatIsNotConfiguredAddsNoRestriction() {
        Configuration configuration = generate(new Random(1));
        Route open =
                configuration.routes().stream()
                        .filter(route -> !route.allowedRegions().isRestricted())
                        .findFirst()
                        .orElseThrow();
        AllowedRegions allowed =
                AllowedRegions.ofRequest(configuration, open, new ClientAccountId("anonymous"));
        assertEquals(AllowedRegions.ANY, allowed);
        assertNull(RegionExclusion.atPrimary(allowed, "north"));
        assertNull(RegionExclusion.atMembers(allowed, REGIONS));
    }
}
