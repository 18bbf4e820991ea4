package org.chivevale.control.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.admission.DemandReport;
import org.chivevale.core.admission.HostsDigest;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.ConnectionDemand;
import org.chivevale.wire.proto.ConnectionHost;
import org.chivevale.wire.proto.ConnectionUse;
import org.chivevale.wire.proto.EndpointHosts;
import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;

/**
 * Plays a fleet whose endpoints have connection hosts, with proxies that restart, drain and miss
 * answers, and with new leaders. Guards against an endpoint's connections being shared out twice
 * while hosts change, and against proxies that disagree about the hosts for good.
 */
class SharedConnectionsProperties {
    private static final GroupId GROUP = new GroupId("orders", 0);
    private static final int LIMIT = 20;
    private static final int PROXIES = 8;
    private static final int ENDPOINTS = 6;
    private static final double SHARED_BELOW = 100;
    private static final long STEP_NANOS = 100_000_000;

    private final Membership membership = new Membership(new Configuration(), 1);
    private long incarnations;
    private long sequences;

    /** A proxy's side of shares and hosts. */
    private final class Proxy {
        final String id;
        final long incarnation = ++incarnations;
        final int[] share = new int[ENDPOINTS];
        final int[] demand = new int[ENDPOINTS];
        final Set<String> told = new HashSet<>();
        final Map<String, EndpointHosts> hosts = new HashMap<>();
        final List<DemandReport> reports = new ArrayList<>();
        long epoch;
        boolean draining;
        boolean relays = true;

        Proxy(String id) {
            this.id = id;
            for (int i = 0; i < ENDPOINTS; i++) {
                reports.add(new DemandReport());
            }
        }

        ConnectionUse use(int endpoint) {
            EndpointHosts known = hosts.get("i-" + endpoint);
            if (known == null) {
                return ConnectionUse.OWN;
            }
            return known.getHostsList().stream().anyMatch(this::isThis)
                    ? ConnectionUse.HOSTED
                    : ConnectionUse.RELAYED;
        }

        private boolean isThis(ConnectionHost host) {
            return host.getProxyId().equals(id) && host.getIncarnation() == incarnation;
        }

        RenewRequest request(long nowNanos) {
            RenewRequest.Builder request =
                    RenewRequest.newBuilder()
                            .setProxyId(id)
                            .setSharesEpoch(epoch)
                            .setRelays(relays)
                            .setDraining(draining);
            if (epoch == 0) {
                told.clear();
                request.setHostsDigest(HostsDigest.of(hosts.values()));
            }
            for (int i = 0; i < ENDPOINTS; i++) {
                int wanted = use(i) == ConnectionUse.RELAYED ? 0 : demand[i];
                if (reports.get(i).takeDue(wanted, share[i], epoch == 0, nowNanos)) {
                    request.addConnectionDemands(
                            ConnectionDemand.newBuilder()
                                    .setEndpointId("i-" + i)
                                    .setGroupId(GROUP.toString())
                                    .setWanted(wanted)
                                    .setUse(use(i))
                                    .setLimitInForce(share[i]));
                }
            }
            return request.build();
        }

        void apply(RenewAnswer answer) {
            epoch = epoch != 0 && epoch != answer.getSharesEpoch() ? 0 : answer.getSharesEpoch();
            for (EndpointHosts changed : answer.getEndpointHostsList()) {
                told.add(changed.getEndpointId());
                if (changed.getHostsCount() == 0) {
                    hosts.remove(changed.getEndpointId());
                } else {
                    hosts.put(changed.getEndpointId(), changed);
                }
                reports.set(changed.getEndpointId().charAt(2) - '0', new DemandReport());
            }
            if (answer.getHostsComplete()) {
                hosts.keySet().retainAll(told);
            }
            answer.getConnectionSharesList()
                    .forEach(
                            granted ->
                                    share[granted.getEndpointId().charAt(2) - '0'] =
                                            granted.getLimit());
        }
    }

    SharedConnectionsProperties() {
        for (int i = 0; i < ENDPOINTS; i++) {
            membership.announce(
                    new InstanceAnnouncement(
                            new EndpointId("i-" + i),
                            GROUP,
                            new HostPort("10.0.0." + i, 80),
                            "r",
                            "d",
                            1,
                            false,
                            0,
                            "",
                            LIMIT + 2,
                            false,
                            true),
                    Long.MAX_VALUE);
        }
    }

    private void renew(FleetShares shares, Proxy proxy, long nowNanos, boolean answerLost) {
        sequences++;
        membership.updateProxy(
                new ProxyMemberState(
                        proxy.id,
                        proxy.incarnation,
                        "r",
                        "d",
                        new HostPort("10.1.0.1", 1 + proxy.id.charAt(6)),
                        sequences,
                        1));
        RenewRequest request = proxy.request(nowNanos);
        RenewAnswer.Builder answer =
                RenewAnswer.newBuilder().setSharesEpoch(shares.epochFor(request));
        shares.addHosts(request, membership, nowNanos, answer);
        answer.addAllConnectionShares(shares.renew(request, membership, nowNanos));
        if (answerLost) {
            proxy.epoch = 0;
        } else {
            proxy.apply(answer.build());
        }
    }

    private List<Proxy> proxies() {
        List<Proxy> proxies = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            proxies.add(new Proxy("proxy-" + i));
        }
        return proxies;
    }

    private void restart(FleetShares shares, List<Proxy> proxies, int number) {
        Proxy old = proxies.get(number);
        membership.removeProxy(old.id);
        shares.remove(old.id);
        proxies.set(number, new Proxy(old.id));
    }

    private void renewAll(FleetShares shares, List<Proxy> proxies) {
        for (int turn = 0; turn < 60; turn++) {
            for (Proxy proxy : proxies) {
                proxy.demand[0] = 3;
                renew(shares, proxy, turn * STEP_NANOS, false);
            }
        }
    }

    @Example
    void withoutABoundNoAnswerHasHosts() {
        FleetShares shares = new FleetShares(7, 1, 0, 0);
        List<Proxy> proxies = proxies();
        renewAll(shares, proxies);
        for (Proxy proxy : proxies) {
            RenewAnswer.Builder answer = RenewAnswer.newBuilder();
            shares.addHosts(proxy.request(0), membership, 60 * STEP_NANOS, answer);
            assertEquals(RenewAnswer.getDefaultInstance(), answer.build());
            assertEquals(ConnectionUse.OWN, proxy.use(0));
            assertTrue(proxy.share[0] > 0, proxy.id + " has no connection");
        }
    }

    /** Proxies for callers over HTTP do not relay, so they need connections of their own. */
    @Example
    void aProxyThatDoesNotRelayIsNoHostAndKeepsItsShare() {
        FleetShares shares = new FleetShares(7, 1, SHARED_BELOW, 0);
        List<Proxy> proxies = proxies();
        Proxy other = proxies.get(0);
        other.relays = false;
        renewAll(shares, proxies);
        assertTrue(other.share[0] > 0, "no connection");
        assertEquals(ENDPOINTS, proxies.get(1).hosts.size());
        for (EndpointHosts each : proxies.get(1).hosts.values()) {
            assertTrue(
                    each.getHostsList().stream()
                            .noneMatch(host -> host.getProxyId().equals(other.id)));
        }
    }

    @Property(seed = "20261204", tries = 300)
    void theSharesStayWithinTheLimitWhileHostsChange(@ForAll long seed) {
        Random random = new Random(seed);
        FleetShares shares = new FleetShares(7, 1, SHARED_BELOW, 0);
        List<Proxy> proxies = proxies();
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += STEP_NANOS;
            int number = random.nextInt(PROXIES);
            if (random.nextInt(20) == 0) {
                restart(shares, proxies, number);
            }
            Proxy proxy = proxies.get(number);
            proxy.draining |= random.nextInt(40) == 0;
            proxy.demand[random.nextInt(ENDPOINTS)] = random.nextInt(30);
            renew(shares, proxy, now, random.nextInt(8) == 0);
            for (int i = 0; i < ENDPOINTS; i++) {
                int used = 0;
                for (Proxy each : proxies) {
                    used += each.share[i];
                }
                assertTrue(used <= LIMIT, used + " connections are shared out");
            }
        }
    }

    @Property(seed = "20261204", tries = 100)
    void allProxiesLearnTheSameHostsAndOnlyTheseHaveShares(@ForAll long seed) {
        Random random = new Random(seed);
        List<Proxy> proxies = proxies();
        FleetShares shares = new FleetShares(7, 1, SHARED_BELOW, 0);
        long now = 0;
        for (int round = 0; round < 6; round++) {
            Map<String, EndpointHosts> before = Map.copyOf(proxies.get(0).hosts);
            int restarted = random.nextInt(PROXIES);
            boolean hasNewLeader = round % 2 == 1;
            if (hasNewLeader) {
                shares = new FleetShares(8 + round, 1, SHARED_BELOW, now);
            } else {
                restart(shares, proxies, restarted);
            }
            for (int turn = 0; turn < 60; turn++) {
                for (Proxy proxy : proxies) {
                    proxy.demand[random.nextInt(ENDPOINTS)] = 1 + random.nextInt(9);
                    renew(shares, proxy, now, random.nextInt(20) == 0);
                }
                now += STEP_NANOS;
            }
            for (int turn = 0; turn < 4; turn++) {
                for (Proxy proxy : proxies) {
                    renew(shares, proxy, now, false);
                }
            }
            Map<String, EndpointHosts> agreed = proxies.get(0).hosts;
            assertEquals(ENDPOINTS, agreed.size());
            if (hasNewLeader) {
                assertEquals(before, agreed, "a new leader keeps the hosts");
            }
            for (Proxy proxy : proxies) {
                assertEquals(agreed, proxy.hosts);
                for (int i = 0; i < ENDPOINTS; i++) {
                    boolean hosts = proxy.use(i) == ConnectionUse.HOSTED;
                    assertEquals(hosts, proxy.share[i] > 0, proxy.id + " of endpoint " + i);
                }
            }
        }
    }
}
