package org.chivevale.control.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.admission.ConnectionShares;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.wire.proto.ConnectionDemand;
import org.chivevale.wire.proto.ConnectionShare;
import org.chivevale.wire.proto.ConnectionUse;
import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;

/**
 * The leased shares of the connections to all endpoints.
 *
 * <p>A proxy lists all its demands to a new leader, and differences afterwards; the answer has the
 * shares that were reported and those that have changed. Invariant: differences count only when
 * they refer to this object's epoch and the proxy's other demands are known, so a share is never
 * granted to a second proxy while the first may use it. Of an endpoint with connection hosts, only
 * these get shares. Used on the event loop.
 */
final class FleetShares {
    /** Connections of an endpoint that control itself may use. */
    private static final int CONTROL_CONNECTIONS = 2;

    /** Time after which all proxies have reported, and connections of ended processes are gone. */
    private static final long SETTLING_NANOS = 3_000_000_000L;

    private final Map<String, ConnectionShares> byInstance = new HashMap<>();
    private final Set<String> proxies = new HashSet<>();
    private final HostAssignments hosts;
    private final long epoch;
    private final int floor;
    private final long sinceNanos;
    private boolean isSettling = true;

    /**
     * Creates the shares of a new leader, without proxies.
     *
     * @param epoch identifies the leader; not 0
     * @param floor minimum share of each proxy, as long as the limit allows
     * @param sharedBelow an endpoint has hosts when its connection limit is below this many times
     *     the number of proxies; 0 for none
     * @param nowNanos the monotonic time at which this process began to lead
     */
    FleetShares(long epoch, int floor, double sharedBelow, long nowNanos) {
        this.epoch = epoch;
        this.floor = floor;
        this.hosts = new HostAssignments(sharedBelow);
        this.sinceNanos = nowNanos;
    }

    /**
     * Returns the number that the proxy's later requests carry to send differences.
     *
     * @return 0 when this request's differences cannot be used, so that all demands are needed
     */
    long epochFor(RenewRequest request) {
        return isUsable(request) ? epoch : 0;
    }

    private boolean isUsable(RenewRequest request) {
        boolean hasAll = request.getSharesEpoch() == 0;
        return hasAll
                || request.getSharesEpoch() == epoch && proxies.contains(request.getProxyId());
    }

    /**
     * Updates the shares of a proxy by its renewal.
     *
     * @param request the renewal
     * @param membership has the limits of the endpoints
     * @param nowNanos the monotonic time
     * @return the shares to answer; none when the request's differences cannot be used
     */
    List<ConnectionShare> renew(RenewRequest request, Membership membership, long nowNanos) {
        if (!isUsable(request)) {
            return List.of();
        }
        proxies.add(request.getProxyId());
        settleWhenDue(nowNanos);
        List<ConnectionShare> answer = new ArrayList<>();
        Set<String> reported = new HashSet<>();
        for (ConnectionDemand demand : request.getConnectionDemandsList()) {
            InstanceAnnouncement instance =
                    membership.instance(
                            new EndpointId(demand.getEndpointId()),
                            GroupId.parse(demand.getGroupId()));
            if (instance != null) {
                String key = key(demand.getGroupId(), demand.getEndpointId());
                reported.add(key);
                answer.add(share(key, report(request.getProxyId(), demand, key, instance)));
            }
        }
        if (request.getSharesEpoch() != 0) {
            addChanged(request.getProxyId(), reported, answer);
        }
        return answer;
    }

    private int report(
            String proxy, ConnectionDemand demand, String key, InstanceAnnouncement instance) {
        ConnectionShares shares = shares(key, instance);
        if (demand.getUse() == ConnectionUse.HOSTED) {
            hosts.adopt(key, proxy);
        }
        boolean mayConnect =
                hosts.isDecided()
                        ? hosts.mayConnect(key, proxy)
                        : demand.getUse() != ConnectionUse.RELAYED;
        if (!mayConnect) {
            shares.reportWithout(proxy, demand.getLimitInForce());
            return 0;
        }
        return shares.report(proxy, demand.getWanted(), demand.getLimitInForce());
    }

    /**
     * Adds the connection hosts that a proxy does not know yet to the answer to its renewal; to be
     * called before {@link #renew}, which withdraws shares from proxies that know the hosts.
     *
     * @param request the renewal
     * @param membership has the proxies and the limits of the endpoints
     * @param nowNanos the monotonic time
     * @param answer the answer to the renewal
     */
    void addHosts(
            RenewRequest request,
            Membership membership,
            long nowNanos,
            RenewAnswer.Builder answer) {
        hosts.report(request);
        settleWhenDue(nowNanos);
        if (!isSettling) {
            hosts.update(membership, nowNanos);
        }
        if (isUsable(request)) {
            hosts.addTo(answer, request);
        }
    }

    private void settleWhenDue(long nowNanos) {
        if (isSettling && nowNanos - sinceNanos >= SETTLING_NANOS) {
            isSettling = false;
            byInstance.values().forEach(shares -> shares.setSettling(false));
        }
    }

    private ConnectionShares shares(String key, InstanceAnnouncement instance) {
        int limit = Math.max(1, instance.connectionLimit() - CONTROL_CONNECTIONS);
        ConnectionShares shares = byInstance.get(key);
        if (shares == null) {
            shares = new ConnectionShares(limit, floor);
            shares.setSettling(isSettling);
            byInstance.put(key, shares);
        }
        shares.changeLimit(limit);
        return shares;
    }

    private void addChanged(String proxy, Set<String> reported, List<ConnectionShare> answer) {
        byInstance.forEach(
                (key, shares) -> {
                    boolean isHeldByOthers = hosts.isDecided() && !hosts.mayConnect(key, proxy);
                    boolean isChanged =
                            !reported.contains(key)
                                    && (isHeldByOthers
                                            ? shares.withdraw(proxy)
                                            : shares.refresh(proxy));
                    if (isChanged) {
                        answer.add(share(key, shares.granted(proxy)));
                    }
                });
    }

    static String key(InstanceAnnouncement instance) {
        return key(instance.group().toString(), instance.endpoint().value());
    }

    private static String key(String groupId, String endpointId) {
        return groupId + "/" + endpointId;
    }

    private static ConnectionShare share(String key, int limit) {
        int slash = key.lastIndexOf('/');
        return ConnectionShare.newBuilder()
                .setGroupId(key.substring(0, slash))
                .setEndpointId(key.substring(slash + 1))
                .setLimit(limit)
                .build();
    }

    /** Frees the shares of a proxy that has left or lost its lease. */
    void remove(String proxy) {
        proxies.remove(proxy);
        hosts.remove(proxy);
        byInstance.values().forEach(shares -> shares.remove(proxy));
    }
}
