package org.chivevale.control.internal.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.chivevale.core.admission.ConnectionHosts;
import org.chivevale.core.admission.HostsDigest;
import org.chivevale.process.DecisionLog;
import org.chivevale.wire.proto.ConnectionHost;
import org.chivevale.wire.proto.EndpointHosts;
import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;
import org.jboss.logging.Logger;

/**
 * The connection hosts of all endpoints, as this leader has chosen them.
 *
 * <p>A new leader keeps the hosts that report themselves and chooses none before all proxies have
 * reported. Invariant: the hosts change only with the set of proxies, the endpoints or their
 * limits, and move to nearer proxies one at a time. Used on the event loop.
 */
final class HostAssignments {
    private static final Logger LOG = Logger.getLogger(HostAssignments.class);
    private static final int MAX_LOG_LINES_PER_SECOND = 50;

    /** Endpoints whose hosts an answer lists, since all hosts at once would fill a VM's link. */
    private static final int MAX_PER_ANSWER = 4;

    private static final long COMPUTE_INTERVAL_NANOS = 250_000_000L;
    private static final long MOVE_INTERVAL_NANOS = 1_000_000_000L;

    private final DecisionLog decisions = new DecisionLog(LOG, MAX_LOG_LINES_PER_SECOND);
    private final double sharedBelow;
    private final Map<String, Assignment> assignments = new HashMap<>();
    private final Map<String, Told> toldProxies = new HashMap<>();
    private final Set<String> draining = new HashSet<>();

    /** Proxies that can be hosts; the others keep their own connections. */
    private final Set<String> relaying = new HashSet<>();

    private long version = 1;
    private long seenMembersVersion = -1;
    private boolean isDirty;
    private long computeAfterNanos;
    private boolean isDecided;
    private long lastMoveNanos;

    /** The hosts of one endpoint and the version at which they last changed. */
    private static final class Assignment {
        final Set<String> hosts = new LinkedHashSet<>();
        EndpointHosts message = EndpointHosts.getDefaultInstance();
        long changedAt;
    }

    /** What a proxy was told: the changes up to a version, and whether all hosts were listed. */
    private static final class Told {
        long version;
        long digest;
        boolean isComplete;
    }

    /**
     * Creates the assignments of a new leader.
     *
     * @param sharedBelow the bound of {@link ConnectionHosts#isShared}
     */
    HostAssignments(double sharedBelow) {
        this.sharedBelow = sharedBelow;
    }

    /** Keeps a host that an earlier leader has chosen; ignored once this one has decided. */
    void adopt(String key, String proxy) {
        if (sharedBelow > 0 && !isDecided) {
            assignments.computeIfAbsent(key, ignored -> new Assignment()).hosts.add(proxy);
        }
    }

    /** Records what a proxy says of itself with its renewal. */
    void report(RenewRequest request) {
        String proxy = request.getProxyId();
        isDirty |= request.getDraining() ? draining.add(proxy) : draining.remove(proxy);
        isDirty |= request.getRelays() ? relaying.add(proxy) : relaying.remove(proxy);
    }

    /** Removes a proxy that has left or lost its lease. */
    void remove(String proxy) {
        toldProxies.remove(proxy);
        draining.remove(proxy);
        relaying.remove(proxy);
        isDirty = true;
    }

    /**
     * Chooses hosts again when the proxies or the endpoints have changed; at most every {@link
     * #COMPUTE_INTERVAL_NANOS}, since proxies of a starting fleet appear one by one.
     */
    void update(Membership membership, long nowNanos) {
        boolean isFirst = !isDecided;
        isDecided = true;
        boolean isChanged = isDirty || membership.version() != seenMembersVersion;
        boolean isDue = isFirst || isChanged && nowNanos - computeAfterNanos >= 0;
        if (sharedBelow <= 0 || !isDue) {
            return;
        }
        seenMembersVersion = membership.version();
        computeAfterNanos = nowNanos + COMPUTE_INTERVAL_NANOS;
        boolean mayMove = !isFirst && nowNanos - lastMoveNanos >= MOVE_INTERVAL_NANOS;
        isDirty = !mayMove;
        if (mayMove) {
            lastMoveNanos = nowNanos;
        }
        Map<String, ProxyMemberState> byId = new HashMap<>();
        membership.proxies().forEach(each -> byId.put(each.id(), each));
        List<ConnectionHosts.Candidate> candidates = candidates(byId.values());
        Set<String> known = new HashSet<>();
        for (List<InstanceAnnouncement> instances : membership.instancesByGroup().values()) {
            for (InstanceAnnouncement instance : instances) {
                String key = FleetShares.key(instance);
                known.add(key);
                Assignment assignment =
                        assignments.computeIfAbsent(key, ignored -> new Assignment());
                List<String> chosen =
                        choose(key, instance, assignment, candidates, byId.size(), mayMove);
                isDirty |= replace(key, assignment, chosen, byId, nowNanos);
            }
        }
        assignments.forEach(
                (key, assignment) -> {
                    if (!known.contains(key)) {
                        replace(key, assignment, List.of(), byId, nowNanos);
                    }
                });
    }

    private List<ConnectionHosts.Candidate> candidates(Collection<ProxyMemberState> proxies) {
        List<ConnectionHosts.Candidate> candidates = new ArrayList<>();
        for (ProxyMemberState proxy : proxies) {
            boolean canHost =
                    proxy.forwardAddress().port() != 0
                            && relaying.contains(proxy.id())
                            && !draining.contains(proxy.id());
            if (canHost) {
                candidates.add(
                        new ConnectionHosts.Candidate(
                                proxy.id(), proxy.dataCenter(), proxy.region()));
            }
        }
        return candidates;
    }

    private List<String> choose(
            String key,
            InstanceAnnouncement instance,
            Assignment assignment,
            List<ConnectionHosts.Candidate> candidates,
            int proxies,
            boolean mayMove) {
        int limit = instance.connectionLimit();
        boolean hasHosts = !assignment.hosts.isEmpty();
        return ConnectionHosts.isShared(limit, sharedBelow, proxies, hasHosts)
                ? ConnectionHosts.choose(
                        new ConnectionHosts.Endpoint(
                                key, instance.dataCenter(), instance.region(), limit),
                        candidates,
                        assignment.hosts,
                        mayMove)
                : List.of();
    }

    /** Sets an endpoint's hosts; a host that has restarted counts as changed. */
    private boolean replace(
            String key,
            Assignment assignment,
            List<String> chosen,
            Map<String, ProxyMemberState> proxies,
            long nowNanos) {
        EndpointHosts message = message(key, chosen, proxies);
        if (message.getHostsList().equals(assignment.message.getHostsList())) {
            return false;
        }
        decisions.log(
                nowNanos, "connection hosts of %s: %s, were %s", key, chosen, assignment.hosts);
        assignment.hosts.clear();
        assignment.hosts.addAll(chosen);
        assignment.message = message;
        version++;
        assignment.changedAt = version;
        return true;
    }

    boolean isDecided() {
        return isDecided;
    }

    /**
     * Tells whether a proxy may have connections to an endpoint, once hosts are decided; also
     * before it was told the hosts, as it could not reach the endpoint otherwise.
     */
    boolean mayConnect(String key, String proxy) {
        Assignment assignment = assignments.get(key);
        return assignment == null
                || !relaying.contains(proxy)
                || assignment.hosts.isEmpty()
                || assignment.hosts.contains(proxy)
                || told(proxy).version < assignment.changedAt;
    }

    private Told told(String proxy) {
        return toldProxies.computeIfAbsent(proxy, ignored -> new Told());
    }

    /**
     * Adds hosts that a proxy does not know yet to the answer to its renewal.
     *
     * @param request the renewal, whose differences can be used
     */
    void addTo(RenewAnswer.Builder answer, RenewRequest request) {
        if (request.getSharesEpoch() == 0) {
            toldProxies.remove(request.getProxyId());
            told(request.getProxyId()).digest = request.getHostsDigest();
        }
        Told told = told(request.getProxyId());
        if (!isDecided || told.isComplete && told.version == version) {
            return;
        }
        if (!told.isComplete && told.version == 0 && told.digest == digest()) {
            told.isComplete = true;
            told.version = version;
            return;
        }
        List<Assignment> untold = new ArrayList<>();
        for (Assignment assignment : assignments.values()) {
            boolean isNew = assignment.changedAt > told.version;
            if (isNew && (told.isComplete || !assignment.hosts.isEmpty())) {
                untold.add(assignment);
            }
        }
        untold.sort(Comparator.comparingLong(assignment -> assignment.changedAt));
        int count = Math.min(untold.size(), MAX_PER_ANSWER);
        untold.subList(0, count).forEach(assignment -> answer.addEndpointHosts(assignment.message));
        if (count < untold.size()) {
            told.version = untold.get(count - 1).changedAt;
            return;
        }
        answer.setHostsComplete(!told.isComplete);
        told.isComplete = true;
        told.version = version;
    }

    private long digest() {
        return HostsDigest.of(assignments.values().stream().map(each -> each.message).toList());
    }

    private static EndpointHosts message(
            String key, Collection<String> hosts, Map<String, ProxyMemberState> proxies) {
        int slash = key.lastIndexOf('/');
        EndpointHosts.Builder message =
                EndpointHosts.newBuilder()
                        .setGroupId(key.substring(0, slash))
                        .setEndpointId(key.substring(slash + 1));
        for (String id : new TreeSet<>(hosts)) {
            ProxyMemberState proxy = proxies.get(id);
            message.addHosts(
                    ConnectionHost.newBuilder()
                            .setProxyId(id)
                            .setIncarnation(proxy.incarnation())
                            .setHost(proxy.forwardAddress().host())
                            .setPort(proxy.forwardAddress().port())
                            .setRegion(proxy.region()));
        }
        return message.build();
    }
}
