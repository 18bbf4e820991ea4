package org.chivevale.proxy.internal.session;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.route.FreshnessSamples;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.MemberTarget;
import org.chivevale.database.session.SessionConnector;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.ControlLink;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.fleet.RenewalParticipant;
import org.chivevale.proxy.internal.relay.FrameRelayTransport;
import org.chivevale.proxy.internal.relay.KnownHosts;
import org.chivevale.proxy.internal.relay.RelayHostAddress;
import org.chivevale.proxy.internal.relay.RelayLinks;
import org.chivevale.wire.proto.ConnectionDemand;
import org.chivevale.wire.proto.ConnectionShare;
import org.chivevale.wire.proto.ConnectionUse;
import org.chivevale.wire.proto.EndpointMember;
import org.chivevale.wire.proto.HealthReport;
import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;
import org.jboss.logging.Logger;

/**
 * The connection pools of all endpoints, with their leased shares and the health of primaries.
 *
 * <p>Reports the demand for connections and the health of primaries with each lease renewal.
 * Invariant: a pool belongs to one endpoint at one address; an endpoint whose address changes gets
 * a new pool. Used on the event loop.
 */
public final class SessionPools implements Service, RenewalParticipant {
    /** Name in the kernel. */
    public static final String NAME = "session-pools";

    private static final Logger LOG = Logger.getLogger(SessionPools.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 40;

    /** Least time between two renewals that request a larger share. */
    private static final long SHARE_REQUEST_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;

    /** The same while a pool has a share and stays above it. */
    private static final long SHORTAGE_REQUEST_INTERVAL_NANOS = 400 * NANOS_PER_MILLI;

    private static final long SUSPECT_SILENCE_NANOS = 700 * NANOS_PER_MILLI;
    private static final long SUSPECT_FAILING_NANOS = 150 * NANOS_PER_MILLI;

    /** Time for which a reply of a primary is evidence of its health. */
    private static final long EVIDENCE_NANOS = 2_000 * NANOS_PER_MILLI;

    private final Directory directory;
    private final Function<EventLoop, SessionConnector> connectors;
    private final Map<MemberTarget, EndpointPool> pools = new HashMap<>();
    private final Map<GroupId, FreshnessSamples> samples = new HashMap<>();
    private final Set<EndpointId> suspected = new HashSet<>();
    private final Map<GroupId, Long> terms = new HashMap<>();
    private final AcknowledgedPositions acknowledged = new AcknowledgedPositions();
    private final KnownHosts hosts = new KnownHosts();
    private final ProxySettings settings;
    private EventLoop loop;
    private SessionConnector connector;
    private ControlLink link;
    private RelayedConnection.Relay relay;
    private ConnectionMeters meters;
    private boolean isDraining;
    private AdmissionMetrics admissionMetrics;
    private long shareRequestedAtNanos;

    /** The leader's shares that the next demands are a difference to; 0 to list all demands. */
    private long sharesEpoch;

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     * @param directory configuration and members
     * @param connectors creates the connector of the event loop, which opens connections
     */
    public SessionPools(
            ProxySettings settings,
            Directory directory,
            Function<EventLoop, SessionConnector> connectors) {
        this.settings = settings;
        this.directory = directory;
        this.connectors = connectors;
    }

    @Override
    public void start(Kernel kernel) {
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        link = kernel.find(ControlLink.NAME, ControlLink.class);
        connector = connectors.apply(loop);
        MeterRegistry registry = kernel.find(Metrics.NAME, Metrics.class).registry();
        relay =
                new RelayedConnection.Relay(
                        new RelayLinks(new FrameRelayTransport(loop), EventLoop::nowNanos),
                        registry,
                        () -> requestShare(SHORTAGE_REQUEST_INTERVAL_NANOS));
        meters = new ConnectionMeters(registry);
        admissionMetrics = new AdmissionMetrics(registry);
        loop.runAndWait(
                () -> {
                    link.addRenewalParticipant(this);
                    directory.addListener(this::onDirectoryChanged);
                });
        loop.repeat(this::tick);
    }

    /**
     * Serves waiters and looks for silent primaries; seldom while nothing is in flight or fails.
     */
    private long tick() {
        boolean isBusy = false;
        SortedMap<Integer, Integer> waiting = new TreeMap<>();
        for (EndpointPool pool : List.copyOf(pools.values())) {
            pool.tick();
            pool.waitingByPriority()
                    .forEach((priority, length) -> waiting.merge(priority, length, Integer::sum));
            isBusy |= pool.pendingRequests() > 0 || pool.health().isFailing();
            if (!pool.isRelayed() && pool.load() > pool.share()) {
                requestShare(
                        pool.share() == 0
                                ? SHARE_REQUEST_INTERVAL_NANOS
                                : SHORTAGE_REQUEST_INTERVAL_NANOS);
            }
        }
        admissionMetrics.setLengths(waiting);
        updateSuspects();
        relay.links().tick();
        return isBusy ? TICK_MILLIS : EventLoop.LONGEST_PAUSE_MILLIS;
    }

    private void updateSuspects() {
        long now = EventLoop.nowNanos();
        for (Group group : directory.configuration().groups()) {
            if (group.primary() == null) {
                continue;
            }
            EndpointPool pool = pools.get(targetOf(group));
            boolean suspect = pool != null && isSuspect(pool, now);
            if (suspect && suspected.add(group.primary())) {
                LOG.warnf("primary %s of %s does not answer", group.primary(), group.id());
                link.renewSoon();
            } else if (!suspect && suspected.remove(group.primary())) {
                LOG.infof("primary %s of %s answers again", group.primary(), group.id());
                link.renewSoon();
            }
        }
    }

    private static boolean isSuspect(EndpointPool pool, long nowNanos) {
        return pool.health().isSuspect(nowNanos, SUSPECT_SILENCE_NANOS, SUSPECT_FAILING_NANOS);
    }

    private static MemberTarget targetOf(Group group) {
        return new MemberTarget(group.primary(), group.id(), group.address());
    }

    private static MemberTarget targetOf(EndpointMember member) {
        return new MemberTarget(
                new EndpointId(member.getEndpointId()),
                GroupId.parse(member.getGroupId()),
                new HostPort(member.getHost(), member.getPort()));
    }

    EndpointPool primaryPool(Group group) {
        return findOrCreatePool(targetOf(group));
    }

    EndpointPool memberPool(EndpointMember member) {
        return findOrCreatePool(targetOf(member));
    }

    private EndpointPool findOrCreatePool(MemberTarget target) {
        return pools.computeIfAbsent(
                target,
                key -> {
                    link.renewSoon();
                    EndpointPool pool =
                            new EndpointPool(
                                    key, connector, this::requestShare, meters, admissionMetrics);
                    updateRelay(pool);
                    return pool;
                });
    }

    /**
     * Finds the pool of an endpoint whose connections this proxy holds.
     *
     * @return null when the endpoint is unknown or other proxies hold its connections
     */
    EndpointPool findOwnPool(GroupId group, EndpointId endpoint) {
        for (EndpointPool pool : pools.values()) {
            boolean isWanted =
                    pool.target().endpoint().equals(endpoint)
                            && pool.target().group().equals(group);
            if (isWanted) {
                return pool.isRelayed() ? null : pool;
            }
        }
        return null;
    }

    /** Tells control that this proxy takes no more statements of other proxies. */
    void startDraining() {
        isDraining = true;
        link.renewSoon();
    }

    private void updateRelay(EndpointPool pool) {
        List<RelayHostAddress> ofPool = hosts.of(pool.target());
        boolean isRelayed = !ofPool.isEmpty() && !includesThisProxy(ofPool);
        if (isRelayed) {
            pool.relayThrough(
                    request ->
                            new RelayedConnection(
                                    relay,
                                    permittedHosts(request, pool.target(), ofPool),
                                    pool.target(),
                                    request.account()));
        } else if (pool.isRelayed()) {
            pool.relayThrough(null);
        }
    }

    /**
     * Ranks the hosts that may receive a statement's text: those in the endpoint's or this proxy's
     * region, and those in other regions that route and account permit.
     */
    private List<RelayHostAddress> permittedHosts(
            PoolRequest request, MemberTarget target, List<RelayHostAddress> candidates) {
        Set<String> near = new HashSet<>(Set.of(settings.region()));
        for (EndpointMember member : directory.members(target.group())) {
            if (member.getEndpointId().equals(target.endpoint().value())) {
                near.add(member.getRegion());
            }
        }
        List<RelayHostAddress> permitted =
                candidates.stream()
                        .filter(
                                host ->
                                        near.contains(host.region())
                                                || request.allowedRegions().permits(host.region()))
                        .toList();
        return relay.links().rank(request.account(), permitted);
    }

    private boolean includesThisProxy(List<RelayHostAddress> candidates) {
        return candidates.stream()
                .anyMatch(
                        host ->
                                host.proxyId().equals(settings.id())
                                        && host.incarnation() == link.incarnation());
    }

    private ConnectionUse use(EndpointPool pool) {
        if (pool.isRelayed()) {
            return ConnectionUse.RELAYED;
        }
        return hosts.of(pool.target()).isEmpty() ? ConnectionUse.OWN : ConnectionUse.HOSTED;
    }

    /**
     * Applies the hosts that a renewal brings; a pool whose use changes is reported again.
     *
     * @return true when a renewal should follow
     */
    private boolean updateHosts(RenewAnswer answer) {
        Map<EndpointPool, ConnectionUse> before = new HashMap<>();
        pools.values().forEach(pool -> before.put(pool, use(pool)));
        if (!hosts.apply(answer)) {
            return false;
        }
        relay.links().retain(hosts.addresses());
        boolean isChanged = false;
        for (EndpointPool pool : List.copyOf(pools.values())) {
            updateRelay(pool);
            if (before.get(pool) != use(pool)) {
                LOG.infof("connections to %s: %s", pool.target().endpoint(), use(pool));
                pool.resetDemandReport();
                isChanged = true;
            }
        }
        return isChanged;
    }

    private void requestShare() {
        requestShare(SHARE_REQUEST_INTERVAL_NANOS);
    }

    private void requestShare(long minIntervalNanos) {
        long now = EventLoop.nowNanos();
        if (now - shareRequestedAtNanos > minIntervalNanos) {
            shareRequestedAtNanos = now;
            link.renewSoon();
        }
    }

    FreshnessSamples samples(GroupId group) {
        return samples.computeIfAbsent(group, key -> new FreshnessSamples());
    }

    AcknowledgedPositions acknowledged() {
        return acknowledged;
    }

    private void onDirectoryChanged() {
        Set<MemberTarget> known = new HashSet<>();
        for (Group group : directory.configuration().groups()) {
            if (group.primary() != null) {
                known.add(targetOf(group));
            }
            directory.members(group.id()).forEach(member -> known.add(targetOf(member)));
        }
        List<MemberTarget> removed = new ArrayList<>(pools.keySet());
        removed.removeAll(known);
        removed.forEach(target -> pools.remove(target).close());
        for (MemberTarget target : known) {
            updateBlocked(findOrCreatePool(target));
        }
        directory.configuration().groups().forEach(this::updateTerm);
    }

    /** Starts the health of a new primary without the failures that it had as a replica. */
    private void updateTerm(Group group) {
        if (group.primary() == null) {
            return;
        }
        Long before = terms.put(group.id(), group.term());
        if (before == null || before != group.term()) {
            primaryPool(group).health().onNewTerm();
        }
    }

    /** Stops work at an endpoint in an evacuated data centre, and allows it again later. */
    private void updateBlocked(EndpointPool pool) {
        MemberTarget target = pool.target();
        String reason = directory.availability().reason(target.group(), target.endpoint());
        boolean blocked = !reason.isEmpty();
        if (blocked != pool.isBlocked()) {
            LOG.infof(
                    "endpoint %s of %s %s",
                    target.endpoint(),
                    target.group(),
                    blocked ? "gets no new work: " + reason : "may get work again");
            pool.setBlocked(blocked);
        }
    }

    @Override
    public void addTo(RenewRequest.Builder request) {
        long now = EventLoop.nowNanos();
        request.setSharesEpoch(sharesEpoch).setDraining(isDraining);
        hosts.addTo(request);
        acknowledged.addTo(request, directory.configuration());
        for (EndpointPool pool : pools.values()) {
            int wanted = pool.takePeakDemand();
            int limit = pool.limitInForce();
            if (pool.demandReport().takeDue(wanted, limit, sharesEpoch == 0, now)) {
                request.addConnectionDemands(
                        ConnectionDemand.newBuilder()
                                .setEndpointId(pool.target().endpoint().value())
                                .setGroupId(pool.target().group().toString())
                                .setWanted(wanted)
                                .setUse(use(pool))
                                .setLimitInForce(limit));
            }
        }
        for (Group group : directory.configuration().groups()) {
            EndpointPool pool = group.primary() == null ? null : pools.get(targetOf(group));
            boolean hasEvidence =
                    pool != null
                            && (isSuspect(pool, now)
                                    || pool.health().hasRepliedSince(now - EVIDENCE_NANOS));
            if (hasEvidence) {
                request.addHealthReports(
                        HealthReport.newBuilder()
                                .setGroupId(group.id().toString())
                                .setEndpointId(group.primary().value())
                                .setTerm(group.term())
                                .setSuspect(isSuspect(pool, now))
                                .setSilentMillis(
                                        pool.health().silenceNanos(now) / NANOS_PER_MILLI));
            }
        }
    }

    @Override
    public void onRenewalLost() {
        sharesEpoch = 0;
    }

    @Override
    public void onRenewed(RenewAnswer answer) {
        boolean differencesRejected = sharesEpoch != 0 && sharesEpoch != answer.getSharesEpoch();
        sharesEpoch = differencesRejected ? 0 : answer.getSharesEpoch();
        boolean shareReduced = differencesRejected | updateHosts(answer);
        Map<String, Integer> limits = new HashMap<>();
        for (ConnectionShare share : answer.getConnectionSharesList()) {
            limits.put(share.getGroupId() + "/" + share.getEndpointId(), share.getLimit());
        }
        for (EndpointPool pool : List.copyOf(pools.values())) {
            Integer limit = limits.get(pool.target().group() + "/" + pool.target().endpoint());
            if (limit != null) {
                shareReduced |= limit < pool.share();
                pool.setShare(limit);
            }
        }
        if (shareReduced) {
            link.renewSoon();
        }
    }

    @Override
    public void stop() {
        loop.runAndWait(
                () -> {
                    List.copyOf(pools.values()).forEach(EndpointPool::close);
                    relay.links().shutDown();
                });
    }
}
