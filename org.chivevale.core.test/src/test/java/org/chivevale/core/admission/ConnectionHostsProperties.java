package org.chivevale.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.admission.ConnectionHosts.Candidate;
import org.chivevale.core.admission.ConnectionHosts.Endpoint;

/**
 * Guards against hosts that are far from their endpoint, too few or too many, and against a change
 * of one proxy that moves the connections of hosts that stay.
 */
class ConnectionHostsProperties {
    private static final String[] DATA_CENTERS = {"a1", "a2", "b1", "b2", "c1", "c2"};

    private static List<Candidate> fleet(Random random, int size) {
        List<Candidate> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            String dataCenter = DATA_CENTERS[random.nextInt(DATA_CENTERS.length)];
            fleet.add(new Candidate("proxy-" + i, dataCenter, dataCenter.substring(0, 1)));
        }
        return fleet;
    }

    private static int distance(Candidate candidate, Endpoint endpoint) {
        if (candidate.dataCenter().equals(endpoint.dataCenter())) {
            return 0;
        }
        return candidate.region().equals(endpoint.region()) ? 1 : 2;
    }

    @Property(seed = "20261204", tries = 300)
    void theHostsAreAsManyAsTheLimitNeedsAndTheNearest(@ForAll long seed) {
        Random random = new Random(seed);
        List<Candidate> fleet = fleet(random, 1 + random.nextInt(100));
        Endpoint endpoint = new Endpoint("g/e", "a1", "a", 1 + random.nextInt(150));
        List<String> hosts = ConnectionHosts.choose(endpoint, fleet, Set.of(), false);
        long inRegion = fleet.stream().filter(each -> each.region().equals("a")).count();
        int byLimit = Math.min(4, (endpoint.connectionLimit() + 29) / 30);
        int expected = Math.max(inRegion >= 2 ? 2 : 1, byLimit);
        assertEquals(Math.min(fleet.size(), expected), hosts.size());
        assertEquals(hosts.size(), new HashSet<>(hosts).size());
        int farthestHost = 0;
        int nearestOther = 2;
        for (Candidate each : fleet) {
            if (hosts.contains(each.id())) {
                farthestHost = Math.max(farthestHost, distance(each, endpoint));
            } else {
                nearestOther = Math.min(nearestOther, distance(each, endpoint));
            }
        }
        assertTrue(farthestHost <= nearestOther, hosts + " of " + fleet);
    }

    @Property(seed = "20261204", tries = 300)
    void aHostStaysWhileItIsAliveAndMovesOneAtATime(@ForAll long seed) {
        Random random = new Random(seed);
        List<Candidate> fleet = fleet(random, 20);
        Endpoint endpoint = new Endpoint("g/e" + seed, "b1", "b", 100);
        List<String> hosts = ConnectionHosts.choose(endpoint, fleet, Set.of(), false);
        for (int step = 0; step < 20; step++) {
            boolean joins = random.nextBoolean();
            if (joins) {
                fleet.add(new Candidate("new-" + step, "b1", "b"));
            } else {
                fleet.remove(random.nextInt(fleet.size()));
            }
            boolean mayMove = random.nextInt(3) == 0;
            List<String> after = ConnectionHosts.choose(endpoint, fleet, hosts, mayMove);
            Set<String> alive = new HashSet<>();
            fleet.forEach(each -> alive.add(each.id()));
            long dropped =
                    hosts.stream()
                            .filter(host -> alive.contains(host) && !after.contains(host))
                            .count();
            assertTrue(dropped <= (mayMove ? 1 : 0), hosts + " became " + after);
            hosts = after;
        }
    }

    @Example
    void endpointsSpreadOverTheProxiesOfTheirDataCenter() {
        List<Candidate> fleet = new ArrayList<>();
        for (int i = 0; i < 15; i++) {
            fleet.add(new Candidate("proxy-" + i, "a1", "a"));
        }
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            Endpoint endpoint = new Endpoint("db" + i + "/0/e", "a1", "a", 40);
            used.addAll(ConnectionHosts.choose(endpoint, fleet, Set.of(), false));
        }
        assertTrue(used.size() >= 12, "only " + used);
    }

    @Example
    void anEndpointIsSharedBelowTheBoundAndNotAgainAtOnce() {
        assertFalse(ConnectionHosts.isShared(10, 0, 100, false));
        assertTrue(ConnectionHosts.isShared(99, 1, 100, false));
        assertFalse(ConnectionHosts.isShared(100, 1, 100, false));
        assertTrue(ConnectionHosts.isShared(100, 1, 95, true));
        assertFalse(ConnectionHosts.isShared(100, 1, 90, true));
    }
}
