package org.chivevale.control.internal.fleet;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivevale.control.ControlSettings;
import org.chivevale.control.internal.log.ControlState;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.failover.AcknowledgedWrites;
import org.chivevale.core.failover.FailureDetector;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.lease.LeaseGrantor;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.chivevale.process.FrameServers;
import org.chivevale.process.Metrics;
import org.chivevale.wire.FrameConnection;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.FrameServer;
import org.chivevale.wire.proto.AcknowledgedPosition;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.ChangePush;
import org.chivevale.wire.proto.DesiredStored;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.ErrorAnswer;
import org.chivevale.wire.proto.Frame;
import org.chivevale.wire.proto.HealthReport;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;
import org.jboss.logging.Logger;

/**
 * Grants leases to proxies and distributes configuration, membership, connection shares and rates.
 *
 * <p>Invariant: grants nothing unless this process holds the leader lease. Used on the event loop.
 */
public final class FleetService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "fleet";

    private static final Logger LOG = Logger.getLogger(FleetService.class);

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 40;
    private static final long EXPIRY_INTERVAL_MILLIS = 250;

    /** Below the time after which a proxy tries another control process. */
    private static final long MAX_LEADER_WAIT_NANOS = 400 * NANOS_PER_MILLI;

    private static final long LEADER_POLL_MILLIS = 10;
    private static final long HEALTH_REPORT_TTL_NANOS = 2_500 * NANOS_PER_MILLI;

    /** Connections of each instance that are reserved for control processes. */
    private static final long INITIAL_ENDPOINT_TTL_NANOS = 4_000 * NANOS_PER_MILLI;

    private final ControlSettings settings;
    private FleetShares shares;
    private final Map<GroupId, FailureDetector> failureDetectors = new HashMap<>();
    private final Map<GroupId, AcknowledgedWrites> acknowledgedWrites = new HashMap<>();
    private final AccountUses accountUses = new AccountUses();

    /** Connections of proxies; true for a proxy that needs the endpoints only. */
    private final Map<FrameConnection, Boolean> connections = new HashMap<>();

    private final InForceTracker inForceTracker = new InForceTracker();
    private EvacuationTracker evacuations;
    private KnownDataCenters dataCenters;
    private EventLoop loop;
    private LogService log;
    private ControlState state;
    private LeaseGrantor leases;
    private Membership membership;
    private RateOwners rates;
    private FrameServer server;
    private Counter renewals;
    private Timer inForceTimer;
    private long lastSeenVersion;
    private long leaderTerm;
    private long pushedConfigVersion;
    private long pushedMembersVersion;
    private long pushedEndpointsVersion;

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     */
    public FleetService(ControlSettings settings) {
        this.settings = settings;
    }

    @Override
    public void start(Kernel kernel) {
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        log = kernel.find(LogService.NAME, LogService.class);
        state = log.state();
        evacuations = new EvacuationTracker(state.configuration());
        dataCenters = new KnownDataCenters(settings.dataCenter(), () -> membership);
        registerMeters(kernel.find(Metrics.NAME, Metrics.class).registry());
        loop.runAndWait(
                () -> {
                    resetLeaderState();
                    state.addListener(this::onStateChanged);
                });
        HostPort listen = settings.wireListen();
        server = FrameServers.open(listen, new Listener());
        loop.every(TICK_MILLIS, this::tick);
        loop.every(EXPIRY_INTERVAL_MILLIS, this::removeExpired);
    }

    private void registerMeters(MeterRegistry registry) {
        renewals = registry.counter("chivevale.control.lease.renewals");
        inForceTimer =
                Timer.builder("chivevale.control.change.in.force")
                        .publishPercentiles(0.5, 0.99)
                        .register(registry);
        evacuations.registerMeters(registry);
        registry.gauge("chivevale.control.proxies", this, self -> self.proxyCount());
    }

    private int proxyCount() {
        return membership == null ? 0 : membership.proxies().size();
    }

    private void resetLeaderState() {
        long now = EventLoop.nowNanos();
        leases =
                new LeaseGrantor(
                        settings.leaseMillis() * NANOS_PER_MILLI,
                        settings.clockDriftPartsPerMillion(),
                        now);
        failureDetectors.clear();
        long startUnixMillis = System.currentTimeMillis();
        shares =
                new FleetShares(
                        startUnixMillis, settings.connectionFloor(), settings.sharedBelow(), now);
        membership = new Membership(state.configuration(), startUnixMillis << 16);
        rates =
                new RateOwners(
                        state.configuration(),
                        startUnixMillis << 16,
                        log.earlierLeaderEndNanos(now),
                        settings.warmup());
        acknowledgedWrites.clear();
        evacuations.reset();
        lastSeenVersion = state.configuration().version();
        loadEndpoints(now);
    }

    /**
     * Loads the endpoints registered in the log into the membership; a new leader assumes that they
     * are alive until their first announcement is due, unless the log says that they are lost.
     */
    private void loadEndpoints(long nowNanos) {
        for (EndpointPut put : state.configuration().endpoints()) {
            if (!put.getLost()) {
                loadEndpoint(put, nowNanos + INITIAL_ENDPOINT_TTL_NANOS);
            }
        }
    }

    /** Loads one endpoint; an entry that cannot be read must not keep the others out. */
    private void loadEndpoint(EndpointPut put, long expiryNanos) {
        try {
            membership.announce(EndpointRegistry.toAnnouncement(put), expiryNanos);
        } catch (ChivevaleException e) {
            LOG.warnf("endpoint '%s' in the log is ignored: %s", put.getEndpointId(), e);
        }
    }

    private void onStateChanged() {
        if (state.isLeader() && state.term() != leaderTerm) {
            leaderTerm = state.term();
            resetLeaderState();
            return;
        }
        List<LogEntry> entries = state.entriesAfter(lastSeenVersion);
        lastSeenVersion = state.configuration().version();
        if (entries == null) {
            membership.updateCold(List.of());
            membership.onConfigurationChange();
            evacuations.update(List.of());
        } else {
            inForceTracker.track(entries);
            membership.updateCold(entries);
            evacuations.update(entries);
            if (entries.stream().anyMatch(FleetService::changesPrimary)) {
                membership.onConfigurationChange();
            }
        }
        pushVersions();
    }

    private static boolean changesPrimary(LogEntry entry) {
        return entry.getChangesList().stream().anyMatch(Change::hasGroupState);
    }

    private void tick() {
        long now = EventLoop.nowNanos();
        if (inForceTracker.hasPending()) {
            for (long tookMillis :
                    inForceTracker.markInForce(leases, now, System.currentTimeMillis())) {
                // The change was accepted at the time of day of another VM, or before a step of it.
                inForceTimer.record(Duration.ofMillis(Math.max(0, tookMillis)));
            }
        }
        if (log.isLeader()) {
            evacuations.tick(leases, now, System.currentTimeMillis());
        }
        pushVersions();
    }

    /** Removes expired endpoints and proxies without a lease; scans all of them. */
    private void removeExpired() {
        long now = EventLoop.nowNanos();
        membership.removeExpired(now);
        leases.removeExpired(now);
        Set<String> holders = leases.holders(now);
        for (ProxyMemberState proxy : membership.proxies()) {
            if (!holders.contains(holder(proxy.id(), proxy.incarnation()))) {
                removeProxy(proxy);
            }
        }
    }

    private void removeProxy(ProxyMemberState proxy) {
        membership.removeProxy(proxy.id());
        shares.remove(proxy.id());
    }

    private static String holder(String proxyId, long incarnation) {
        return proxyId + "/" + incarnation;
    }

    /** Tells each proxy that there is a newer configuration or list of members, once. */
    private void pushVersions() {
        long configVersion = state.configuration().version();
        long membersVersion = membership.version();
        long endpointsVersion = membership.endpointsVersion();
        boolean isNewForAll =
                configVersion != pushedConfigVersion || endpointsVersion != pushedEndpointsVersion;
        boolean isNew = isNewForAll || membersVersion != pushedMembersVersion;
        if (!isNew) {
            return;
        }
        pushedConfigVersion = configVersion;
        pushedMembersVersion = membersVersion;
        pushedEndpointsVersion = endpointsVersion;
        Frame forEndpoints = changePush(configVersion, endpointsVersion);
        Frame forMembers = changePush(configVersion, membersVersion);
        connections.forEach(
                (connection, endpointsOnly) -> {
                    if (!endpointsOnly) {
                        connection.send(forMembers);
                    } else if (isNewForAll) {
                        connection.send(forEndpoints);
                    }
                });
    }

    private static Frame changePush(long configVersion, long membersVersion) {
        return Frame.newBuilder()
                .setChangePush(
                        ChangePush.newBuilder()
                                .setConfigVersion(configVersion)
                                .setMembersVersion(membersVersion))
                .build();
    }

    /** Dispatches frames from the I/O thread to the event loop. */
    private final class Listener implements FrameListener {
        @Override
        public void received(FrameConnection connection, Frame frame) {
            loop.run(() -> handleFrame(connection, frame));
        }

        @Override
        public void closed(FrameConnection connection) {
            loop.run(() -> connections.remove(connection));
        }
    }

    private void handleFrame(FrameConnection connection, Frame frame) {
        if (frame.hasRaftMessage()) {
            log.handleRaftMessage(frame.getRaftMessage());
            return;
        }
        if (log.isLeader()) {
            answer(connection, frame);
        } else if (frame.hasRenewRequest()) {
            answerOnceLeaderIsKnown(connection, frame, EventLoop.nowNanos());
        } else {
            sendLeader(connection, frame);
        }
    }

    /**
     * Delays the answer to a renewal while no leader is known, up to {@link
     * #MAX_LEADER_WAIT_NANOS}: the proxy then learns the leader, or renews here, without a further
     * attempt.
     */
    private void answerOnceLeaderIsKnown(FrameConnection connection, Frame frame, long sinceNanos) {
        boolean mayWait = EventLoop.nowNanos() - sinceNanos < MAX_LEADER_WAIT_NANOS;
        if (!connection.isOpen()) {
            return;
        }
        if (log.isLeader()) {
            answer(connection, frame);
        } else if (mayWait && isLeaderPending()) {
            loop.vertx()
                    .setTimer(
                            LEADER_POLL_MILLIS,
                            timer -> answerOnceLeaderIsKnown(connection, frame, sinceNanos));
        } else {
            sendLeader(connection, frame);
        }
    }

    /** Returns whether no leader is known, or this process leads but does not hold its lease. */
    private boolean isLeaderPending() {
        return log.leader().isEmpty() || log.leader().equals(settings.wireListen().toString());
    }

    /** Rejects a request; names the leader if another process is known to lead. */
    private void sendLeader(FrameConnection connection, Frame frame) {
        connection.send(
                Frame.newBuilder()
                        .setCorrelationId(frame.getCorrelationId())
                        .setErrorAnswer(
                                ErrorAnswer.newBuilder()
                                        .setCode(ResultCode.NOT_LEADER.number())
                                        .setMessage(isLeaderPending() ? "" : log.leader()))
                        .build());
    }

    private void answer(FrameConnection connection, Frame frame) {
        Frame.Builder answer = Frame.newBuilder().setCorrelationId(frame.getCorrelationId());
        try {
            addAnswer(connection, frame, answer);
        } catch (RuntimeException e) {
            LOG.warnf("cannot answer a %s: %s", frame.getBodyCase(), e);
            answer.setErrorAnswer(
                    ErrorAnswer.newBuilder().setCode(ResultCode.MALFORMED_REQUEST.number()));
        }
        connection.send(answer.build());
    }

    private void addAnswer(FrameConnection connection, Frame frame, Frame.Builder answer) {
        switch (frame.getBodyCase()) {
            case RENEW_REQUEST -> {
                connections.put(connection, frame.getRenewRequest().getEndpointsOnly());
                answer.setRenewAnswer(renewLease(frame.getRenewRequest()));
            }
            case RATE_REQUEST ->
                    answer.setRateAnswer(
                            rates.grantRates(frame.getRateRequest(), EventLoop.nowNanos()));
            default ->
                    answer.setErrorAnswer(
                            ErrorAnswer.newBuilder()
                                    .setCode(ResultCode.MALFORMED_REQUEST.number())
                                    .setMessage("unexpected request " + frame.getBodyCase()));
        }
    }

    private RenewAnswer renewLease(RenewRequest request) {
        if (request.getProxyId().isEmpty()) {
            throw new ChivevaleException(ResultCode.MALFORMED_REQUEST, "no proxy id");
        }
        long now = EventLoop.nowNanos();
        renewals.increment();
        ProxyMemberState proxy = proxyState(request);
        if (!membership.updateProxy(proxy)) {
            return RenewAnswer.newBuilder().setGranted(false).build();
        }
        String holder = holder(proxy.id(), proxy.incarnation());
        if (request.getLeaving()) {
            leases.release(holder);
            removeProxy(proxy);
            return RenewAnswer.newBuilder().setGranted(false).build();
        }
        long leaseNanos = leases.grant(holder, request.getConfigVersion(), now);
        reportHealth(request, now);
        for (AcknowledgedPosition position : request.getAcknowledgedPositionsList()) {
            acknowledgedWrites(GroupId.parse(position.getGroupId()))
                    .report(position.getTerm(), position.getNumber());
        }
        accountUses.report(proxy.id(), proxy.incarnation(), request.getAccountUsesList());
        RenewAnswer.Builder answer =
                RenewAnswer.newBuilder()
                        .setGranted(true)
                        .setLeaseMillis(leaseNanos / NANOS_PER_MILLI)
                        .setProxyCount(proxyCount())
                        .addAllControlAddresses(log.memberAddresses())
                        .setSharesEpoch(shares.epochFor(request));
        shares.addHosts(request, membership, now, answer);
        answer.addAllConnectionShares(shares.renew(request, membership, now));
        addConfiguration(answer, request.getConfigVersion());
        addMembers(answer, request);
        return answer.build();
    }

    private static ProxyMemberState proxyState(RenewRequest request) {
        return new ProxyMemberState(
                request.getProxyId(),
                request.getIncarnation(),
                request.getRegion(),
                request.getDataCenter(),
                new HostPort(request.getForwardHost(), request.getForwardPort()),
                request.getSequence(),
                request.getConfigVersion());
    }

    private void reportHealth(RenewRequest request, long nowNanos) {
        for (HealthReport report : request.getHealthReportsList()) {
            failureDetector(GroupId.parse(report.getGroupId()))
                    .report(
                            request.getProxyId(),
                            request.getDataCenter(),
                            new EndpointId(report.getEndpointId()),
                            report.getTerm(),
                            report.getSuspect(),
                            nowNanos);
        }
    }

    private void addConfiguration(RenewAnswer.Builder answer, long knownVersion) {
        answer.setConfigVersion(state.configuration().version());
        List<LogEntry> entries = state.entriesAfter(knownVersion);
        if (entries == null) {
            answer.setSnapshot(state.configuration().snapshot(true));
        } else {
            entries.forEach(entry -> answer.addEntries(withoutControlChanges(entry)));
        }
    }

    private static LogEntry withoutControlChanges(LogEntry entry) {
        LogEntry.Builder visible = LogEntry.newBuilder().setVersion(entry.getVersion());
        for (Change change : entry.getChangesList()) {
            boolean controlOnly =
                    change.hasOperatorPut()
                            || change.hasPlanStored()
                            || change.hasDatabaseCredentialPut()
                            || change.hasFailoverStep()
                            || change.hasEndpointPut()
                            || change.hasEndpointRemoved();
            if (!controlOnly) {
                visible.addChanges(change.hasDesiredStored() ? withoutSource(change) : change);
            }
        }
        return visible.build();
    }

    /** Strips the operator's original configuration, which only control processes store. */
    private static Change withoutSource(Change change) {
        return Change.newBuilder()
                .setDesiredStored(
                        DesiredStored.newBuilder()
                                .setVersion(change.getDesiredStored().getVersion()))
                .build();
    }

    private void addMembers(RenewAnswer.Builder answer, RenewRequest request) {
        boolean endpointsOnly = request.getEndpointsOnly();
        long version = endpointsOnly ? membership.endpointsVersion() : membership.version();
        answer.setMembersVersion(version);
        if (request.getMembersVersion() == version) {
            return;
        }
        answer.setMembersIncluded(true);
        answer.addAllEndpoints(membership.endpointMessages());
        if (!endpointsOnly) {
            answer.addAllProxies(membership.proxyMessages());
        }
    }

    /**
     * Returns the membership of endpoints and proxies.
     *
     * @return the membership, to be used on the event loop
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns the leases of the proxies.
     *
     * @return the lease grantor, to be used on the event loop
     */
    public LeaseGrantor leases() {
        return leases;
    }

    /**
     * Returns the tracker of when entries came into force.
     *
     * @return the tracker, to be used on the event loop
     */
    public InForceTracker inForceTracker() {
        return inForceTracker;
    }

    /**
     * Returns the progress of the evacuations.
     *
     * @return the tracker, to be used on the event loop
     */
    public EvacuationTracker evacuations() {
        return evacuations;
    }

    /**
     * Returns the data centres that an order may name.
     *
     * @return the data centres, to be used on the event loop
     */
    public KnownDataCenters dataCenters() {
        return dataCenters;
    }

    /**
     * Returns the failure detector of a group's primary.
     *
     * @param group the group
     * @return the detector, to be used on the event loop
     */
    public FailureDetector failureDetector(GroupId group) {
        return failureDetectors.computeIfAbsent(
                group, key -> new FailureDetector(HEALTH_REPORT_TTL_NANOS));
    }

    /**
     * Returns what proxies have reported as acknowledged in a group since this process leads.
     *
     * @param group the group
     * @return the acknowledged writes, to be used on the event loop
     */
    public AcknowledgedWrites acknowledgedWrites(GroupId group) {
        return acknowledgedWrites.computeIfAbsent(group, key -> new AcknowledgedWrites());
    }

    /**
     * Returns the usage counters that proxies have reported.
     *
     * @return the counters, to be used on the event loop
     */
    public AccountUses accountUses() {
        return accountUses;
    }

    @Override
    public void stop() {
        server.close();
    }
}
