package org.chivevale.control.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.admission.DemandReport;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.ConnectionDemand;
import org.chivevale.wire.proto.ConnectionShare;
import org.chivevale.wire.proto.RenewRequest;

/**
 * Plays a fleet that reports differences of its demands, with lost answers, expired leases and new
 * leaders. Guards against an endpoint's connections being shared out twice, and against a proxy
 * that never learns its share.
 */
class FleetSharesProperties {
    private static final GroupId GROUP = new GroupId("orders", 0);
    private static final int LIMIT = 12;
    private static final int PROXIES = 5;
    private static final int ENDPOINTS = 4;
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final long RENEWAL_NANOS = 700_000_000;
    private static final long SHORTAGE_NANOS = 100_000_000;
    private static final long STEP_NANOS = 20_000_000;

    private final Membership membership = new Membership(new Configuration(), 1);

    /** A proxy's side of the shares. */
    private static final class Proxy {
        final String id;
        final int[] share = new int[ENDPOINTS];
        final int[] demand = new int[ENDPOINTS];
        final List<DemandReport> reports = new ArrayList<>();
        long epoch;
        int sentDemands;
        int peak;

        Proxy(int number) {
            id = "proxy-" + number;
            for (int i = 0; i < ENDPOINTS; i++) {
                reports.add(new DemandReport());
            }
        }

        RenewRequest request(long nowNanos) {
            RenewRequest.Builder request =
                    RenewRequest.newBuilder().setProxyId(id).setSharesEpoch(epoch);
            for (int i = 0; i < ENDPOINTS; i++) {
                if (reports.get(i).takeDue(demand[i], share[i], epoch == 0, nowNanos)) {
                    request.addConnectionDemands(
                            ConnectionDemand.newBuilder()
                                    .setEndpointId("i-" + i)
                                    .setGroupId(GROUP.toString())
                                    .setWanted(demand[i])
                                    .setLimitInForce(share[i]));
                }
            }
            sentDemands = request.getConnectionDemandsCount();
            return request.build();
        }

        void apply(long answeredEpoch, List<ConnectionShare> shares) {
            epoch = epoch != 0 && epoch != answeredEpoch ? 0 : answeredEpoch;
            for (ConnectionShare answered : shares) {
                share[answered.getEndpointId().charAt(2) - '0'] = answered.getLimit();
            }
        }
    }

    FleetSharesProperties() {
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
        RenewRequest request = proxy.request(nowNanos);
        long epoch = shares.epochFor(request);
        List<ConnectionShare> answer = shares.renew(request, membership, nowNanos);
        if (answerLost) {
            proxy.epoch = 0;
        } else {
            proxy.apply(epoch, answer);
        }
    }

    private static List<Proxy> proxies() {
        List<Proxy> proxies = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            proxies.add(new Proxy(i));
        }
        return proxies;
    }

    @Property(seed = "20261204", tries = 500)
    void theSharesOfProxiesWithALeaseNeverExceedTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        FleetShares shares = new FleetShares(7, 1, 0, 0);
        List<Proxy> proxies = proxies();
        long now = 0;
        for (int step = 0; step < 200; step++) {
            now += RENEWAL_NANOS / PROXIES;
            Proxy proxy = proxies.get(random.nextInt(PROXIES));
            if (random.nextInt(20) == 0) {
                shares.remove(proxy.id);
                proxies.set(proxies.indexOf(proxy), new Proxy(proxy.id.charAt(6) - '0'));
                continue;
            }
            proxy.demand[random.nextInt(ENDPOINTS)] = random.nextInt(9);
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

    @Property(seed = "20261204", tries = 200)
    void aProxyGetsItsShareFromEachNewLeaderAndAfterALostLease(@ForAll long seed) {
        Random random = new Random(seed);
        List<Proxy> proxies = proxies();
        FleetShares shares = new FleetShares(7, 1, 0, 0);
        long now = 0;
        for (int round = 0; round < 12; round++) {
            if (round % 4 == 1) {
                shares = new FleetShares(8 + round, 1, 0, now);
            } else if (round % 4 == 3) {
                shares.remove(proxies.get(0).id);
            }
            for (int turn = 0; turn < 4; turn++) {
                for (Proxy proxy : proxies) {
                    now += RENEWAL_NANOS / PROXIES;
                    proxy.demand[random.nextInt(ENDPOINTS)] = 1 + random.nextInt(2);
                    renew(shares, proxy, now, false);
                }
            }
            for (Proxy proxy : proxies) {
                for (int i = 0; i < ENDPOINTS; i++) {
                    assertTrue(proxy.share[i] >= 1, proxy.id + " has no share of endpoint " + i);
                }
            }
        }
    }

    /**
     * Restarts a whole fleet: proxies with a backlog report one after the other. The last one must
     * get a connection with its first renewal, and half of the limit must be kept for connections
     * that the endpoint still counts.
     */
    @Example
    void eachProxyOfARestartedFleetIsServedWithItsFirstRenewal() {
        FleetShares shares = new FleetShares(7, 1, 0, 0);
        int sum = 0;
        for (Proxy proxy : proxies()) {
            proxy.demand[0] = 20;
            renew(shares, proxy, 0, false);
            assertTrue(proxy.share[0] >= 1, proxy.id + " has no connection");
            sum += proxy.share[0];
        }
        assertTrue(sum <= LIMIT / 2 + PROXIES - 1, sum + " connections after a restart");
    }

    /**
     * Plays more proxies than an endpoint has connections, each of which uses it now and then. Each
     * request must get a connection long before its proxy gives it up.
     */
    @Property(seed = "20261204", tries = 20)
    void rareRequestsOfManyProxiesAllGetAConnection(@ForAll long seed) {
        Random random = new Random(seed);
        FleetShares shares = new FleetShares(7, 1, 0, -10 * RENEWAL_NANOS);
        List<Proxy> proxies = new ArrayList<>();
        long[] waitingSince = new long[8 * LIMIT / 7];
        long[] nextRenewal = new long[waitingSince.length];
        for (int i = 0; i < waitingSince.length; i++) {
            proxies.add(new Proxy(i));
            waitingSince[i] = -1;
        }
        long longestWait = 0;
        for (long now = 1; now < 20 * SECOND_NANOS; now += STEP_NANOS) {
            for (int i = 0; i < waitingSince.length; i++) {
                Proxy proxy = proxies.get(i);
                boolean arrives = random.nextDouble() < STEP_NANOS / (4.0 * SECOND_NANOS);
                if (arrives && waitingSince[i] < 0) {
                    waitingSince[i] = now;
                    nextRenewal[i] =
                            Math.min(
                                    nextRenewal[i], proxy.share[0] > 0 ? now + RENEWAL_NANOS : now);
                }
                boolean isWaiting = waitingSince[i] >= 0;
                if (isWaiting) {
                    proxy.peak = 1;
                }
                if (now >= nextRenewal[i]) {
                    proxy.demand[0] = proxy.peak;
                    proxy.peak = isWaiting ? 1 : 0;
                    int before = proxy.share[0];
                    renew(shares, proxy, now, false);
                    boolean isShort = isWaiting && proxy.share[0] == 0;
                    boolean isReduced = proxy.share[0] < before;
                    nextRenewal[i] = now + (isShort ? SHORTAGE_NANOS : RENEWAL_NANOS);
                    nextRenewal[i] = isReduced ? now : nextRenewal[i];
                }
                if (isWaiting && proxy.share[0] > 0) {
                    longestWait = Math.max(longestWait, now - waitingSince[i]);
                    waitingSince[i] = -1;
                } else if (isWaiting) {
                    longestWait = Math.max(longestWait, now - waitingSince[i]);
                }
            }
        }
        assertTrue(
                longestWait < SECOND_NANOS, longestWait / 1_000_000 + " ms without a connection");
    }

    @Example
    void nothingIsSentWhileNoDemandChanges() {
        FleetShares shares = new FleetShares(7, 1, 0, 0);
        Proxy proxy = new Proxy(0);
        for (int i = 0; i < 5; i++) {
            renew(shares, proxy, i * RENEWAL_NANOS, false);
        }
        assertEquals(0, proxy.sentDemands);
    }
}
