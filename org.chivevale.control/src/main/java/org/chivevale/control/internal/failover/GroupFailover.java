package org.chivevale.control.internal.failover;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.Group;
import org.chivevale.core.failover.FailoverAction;
import org.chivevale.core.failover.FailoverPhase;
import org.chivevale.core.failover.FailoverPolicy;
import org.chivevale.core.failover.FailoverView;
import org.chivevale.core.failover.GroupRegions;
import org.chivevale.core.failover.MemberPlace;
import org.chivevale.core.failover.MemberPosition;
import org.chivevale.core.failover.PrimaryEligibility;
import org.chivevale.core.failover.SwitchoverBackoff;
import org.chivevale.core.failover.WriteCoverage;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.MemberConnection;
import org.chivevale.database.MemberStatus;
import org.chivevale.database.PromotionOrder;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.FailoverStep;
import org.jboss.logging.Logger;

/**
 * Executes failovers and switchovers of one group's primary, step by step.
 *
 * <p>All state that must survive a change of leader is in the log; this class only holds the
 * members' responses since the last step. Used on the event loop.
 */
final class GroupFailover {
    private static final Logger LOG = Logger.getLogger(GroupFailover.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long COLLECT_INTERVAL_MILLIS = 60;
    private static final long PROMOTE_TIMEOUT_MILLIS = 2000;
    private static final long REINSTATE_GRACE_MILLIS = 1500;

    /** Bounds the lines of a group whose reason alternates. */
    private static final long REASON_LOG_INTERVAL_MILLIS = 1000;

    private final GroupId group;
    private final FailoverLog log;
    private final FailoverFleet fleet;
    private final MemberClient memberClient;
    private final FailoverPolicy policy;
    private final FailoverTimings timings;
    private final PrimaryWatch watch;
    private final Map<EndpointId, MemberPosition> positions = new HashMap<>();
    private final SwitchoverBackoff backoff = new SwitchoverBackoff();
    private FailoverPhase lastPhase;
    private long fenceVersion;
    private long collectStartNanos;
    private long lastCollectNanos;

    /** Members whose answers are outstanding; one without an answer does not delay the others. */
    private final Set<EndpointId> asked = new HashSet<>();

    private MemberPosition promotion;
    private long promoteStartNanos;
    private boolean promoting;
    private long lastReinstatedNanos;
    private FailoverStep lastStep;
    private AllowedRegions regions = AllowedRegions.ANY;
    private long regionsVersion = -1;
    private boolean proposing;
    private String blockedReason = "";
    private String loggedReason = "";
    private long loggedNanos;

    GroupFailover(
            GroupId group,
            FailoverLog log,
            FailoverFleet fleet,
            MemberClient memberClient,
            FailoverPolicy policy,
            FailoverTimings timings) {
        this.group = group;
        this.log = log;
        this.fleet = fleet;
        this.memberClient = memberClient;
        this.policy = policy;
        this.timings = timings;
        this.watch = new PrimaryWatch(group, fleet, memberClient);
        lastReinstatedNanos = fleet.nowNanos() - REINSTATE_GRACE_MILLIS * NANOS_PER_MILLI;
    }

    String blockedReason() {
        return blockedReason;
    }

    /** Executes the next step that the policy decides, if any. */
    void tick() {
        if (proposing) {
            return;
        }
        Configuration configuration = log.configuration();
        FailoverStep step = configuration.failovers().get(group.toString());
        FailoverPhase phase = step == null ? null : FailoverPhase.valueOf(step.getPhase());
        Group state = configuration.group(group);
        boolean suspected = isSuspected(state);
        String lossReason = watch.findLoss(configuration, state, suspected);
        boolean isEligibilityNeeded =
                phase != null || lossReason != null || !configuration.evacuations().isEmpty();
        PrimaryEligibility eligibility =
                isEligibilityNeeded ? eligibility(configuration) : PrimaryEligibility.UNRESTRICTED;
        if (phase != lastPhase) {
            if (lastPhase == null) {
                LOG.infof(
                        "group %s: replacing %s, planned %b: %s",
                        group, step.getReplacedEndpointId(), step.getPlanned(), step.getReason());
            }
            onPhaseChange(phase, configuration.version());
        }
        updateBackoff(configuration, step, eligibility);
        FailoverAction action =
                policy.next(
                        buildView(
                                configuration,
                                phase,
                                step,
                                watch.confirmsSuspicion(suspected),
                                lossReason,
                                eligibility));
        setBlockedReason(action instanceof FailoverAction.Blocked blocked ? blocked.reason() : "");
        execute(action, configuration, step);
    }

    private PrimaryEligibility eligibility(Configuration configuration) {
        if (regionsVersion != configuration.version()) {
            regionsVersion = configuration.version();
            regions = GroupRegions.of(configuration, group.database());
        }
        long now = fleet.nowNanos();
        List<MemberPlace> places = new ArrayList<>();
        for (InstanceAnnouncement instance : fleet.membership().instances(group)) {
            boolean liveReplica =
                    !instance.primary()
                            && !instance.shuttingDown()
                            && fleet.membership().isFresh(instance, now);
            places.add(
                    new MemberPlace(
                            instance.endpoint(),
                            instance.region(),
                            instance.dataCenter(),
                            liveReplica));
        }
        return PrimaryEligibility.of(configuration, regions, places);
    }

    /** Counts the switchovers of an evacuated primary that ended with the same primary. */
    private void updateBackoff(
            Configuration configuration, FailoverStep step, PrimaryEligibility eligibility) {
        FailoverStep ended = step == null ? lastStep : null;
        lastStep = step;
        EndpointId primary = configuration.group(group).primary();
        if (primary == null) {
            return;
        }
        if (!eligibility.isEvacuated(primary)) {
            backoff.reset();
        } else if (ended != null && !primary.equals(parseEndpoint(ended.getReplacedEndpointId()))) {
            backoff.reset();
        } else if (ended != null && ended.getPlanned()) {
            backoff.recordReinstated(fleet.nowNanos());
        }
    }

    private void setBlockedReason(String reason) {
        if (reason.isEmpty()) {
            loggedReason = "";
        }
        boolean isNewReason = !reason.isEmpty() && !reason.equals(loggedReason);
        long now = fleet.nowNanos();
        if (isNewReason && millisSince(loggedNanos, now) > REASON_LOG_INTERVAL_MILLIS) {
            LOG.infof("group %s: blocked: %s", group, reason);
            loggedReason = reason;
            loggedNanos = now;
        }
        blockedReason = reason;
    }

    private void onPhaseChange(FailoverPhase phase, long version) {
        long now = fleet.nowNanos();
        timings.onPhaseChange(group, lastPhase, phase, now);
        boolean stillPromoting =
                phase != null
                        && lastPhase != null
                        && phase.isPromoting()
                        && lastPhase.isPromoting();
        lastPhase = phase;
        fenceVersion = version;
        positions.clear();
        collectStartNanos = 0;
        if (!stillPromoting) {
            promotion = null;
            promoteStartNanos = now;
        }
    }

    private FailoverView buildView(
            Configuration configuration,
            FailoverPhase phase,
            FailoverStep step,
            boolean suspected,
            String lossReason,
            PrimaryEligibility eligibility) {
        long now = fleet.nowNanos();
        Group state = configuration.group(group);
        Database database = configuration.database(group.database());
        EndpointId primary = state.primary();
        EndpointId replaced = step == null ? null : parseEndpoint(step.getReplacedEndpointId());
        boolean shuttingDown = isShuttingDown(phase == null ? primary : replaced);
        boolean watching =
                phase == null
                        && primary != null
                        && millisSince(lastReinstatedNanos, now) > REINSTATE_GRACE_MILLIS;
        return new FailoverView(
                phase,
                state.term(),
                primary,
                replaced,
                step == null ? null : parseEndpoint(step.getCandidateEndpointId()),
                step != null && step.getPlanned(),
                step == null ? null : parseEndpoint(step.getPreferredEndpointId()),
                watching && suspected,
                watching ? lossReason : null,
                shuttingDown && (watching || phase != null),
                phase != null && fleet.leases().isInForce(fenceVersion, now),
                phase == null ? WriteCoverage.of(1) : coverage(configuration, database, replaced),
                fleet.membership().instances(group).size(),
                positions,
                collectStartNanos == 0 ? 0 : millisSince(collectStartNanos, now),
                promotion,
                millisSince(promoteStartNanos, now),
                eligibility,
                backoff.isPaused(now));
    }

    private boolean isSuspected(Group state) {
        return state.primary() != null
                && fleet.failureDetector(group)
                        .isSuspected(state.primary(), state.term(), fleet.nowNanos());
    }

    private WriteCoverage coverage(
            Configuration configuration, Database database, EndpointId replaced) {
        if (database == null) {
            return WriteCoverage.of(1);
        }
        if (!database.isCoverageRequired()) {
            return WriteCoverage.of(database.requiredPromotionResponses(0));
        }
        int members = possibleHolders(configuration, replaced).size();
        return new WriteCoverage(
                database.requiredPromotionResponses(members),
                fleet.acknowledgedWrites(group).highest(configuration.group(group).term()),
                members - 1);
    }

    /**
     * Returns the members that may hold an acknowledged write: the replaced primary, those that
     * announce themselves, and those that are silent but not known to be lost.
     */
    private Set<EndpointId> possibleHolders(Configuration configuration, EndpointId replaced) {
        Set<EndpointId> holders = new HashSet<>();
        if (replaced != null) {
            holders.add(replaced);
        }
        fleet.membership().instances(group).forEach(each -> holders.add(each.endpoint()));
        for (EndpointPut registered : configuration.endpoints(group)) {
            if (!registered.getLost()) {
                holders.add(new EndpointId(registered.getEndpointId()));
            }
        }
        return holders;
    }

    private boolean isShuttingDown(EndpointId endpoint) {
        InstanceAnnouncement announced =
                endpoint == null ? null : fleet.membership().instance(endpoint, group);
        return announced != null && announced.shuttingDown();
    }

    private static EndpointId parseEndpoint(String id) {
        return id.isEmpty() ? null : new EndpointId(id);
    }

    private static long millisSince(long startNanos, long nowNanos) {
        return Math.max(1, (nowNanos - startNanos) / NANOS_PER_MILLI);
    }

    private void execute(FailoverAction action, Configuration configuration, FailoverStep step) {
        if (action instanceof FailoverAction.Fence fence) {
            Group state = configuration.group(group);
            propose(now -> FailoverChanges.fenceIfUnchanged(now, state, fence));
        } else if (action instanceof FailoverAction.Collect) {
            collectPositions(configuration, step);
        } else if (action instanceof FailoverAction.Blocked && step != null) {
            collectPositions(configuration, step);
        } else if (action instanceof FailoverAction.Choose choose) {
            timings.markPositionsCollected(group, fleet.nowNanos());
            propose(now -> FailoverChanges.chooseCandidate(now, step, choose.candidate()));
        } else if (action instanceof FailoverAction.Reinstate reinstate) {
            HostPort address = address(reinstate.primary());
            if (address != null) {
                lastReinstatedNanos = fleet.nowNanos();
                propose(now -> FailoverChanges.reinstate(now, step, reinstate.primary(), address));
            }
        } else if (action instanceof FailoverAction.Promote promote) {
            promote(promote.candidate());
        } else if (action instanceof FailoverAction.Publish publish) {
            publish(publish, step);
        } else if (action instanceof FailoverAction.AbandonCandidate) {
            promotion = null;
            propose(now -> FailoverChanges.reconsider(now, step));
        }
    }

    private HostPort address(EndpointId endpoint) {
        InstanceAnnouncement instance = fleet.membership().instance(endpoint, group);
        return instance == null ? null : instance.address();
    }

    private void propose(LogService.ChangeBuilder changeBuilder) {
        proposing = true;
        log.propose(changeBuilder)
                .onComplete(
                        ended -> {
                            proposing = false;
                            if (ended.failed()) {
                                LOG.warnf(
                                        "group %s: failover step not committed: %s",
                                        group, ended.cause());
                            }
                        });
    }

    private void collectPositions(Configuration configuration, FailoverStep step) {
        long now = fleet.nowNanos();
        boolean tooSoon =
                lastCollectNanos != 0
                        && millisSince(lastCollectNanos, now) < COLLECT_INTERVAL_MILLIS;
        if (collectStartNanos != 0 && tooSoon) {
            return;
        }
        lastCollectNanos = now;
        if (collectStartNanos == 0) {
            collectStartNanos = now;
            timings.markFenced(group, now);
        }
        long term = configuration.group(group).term();
        for (InstanceAnnouncement instance : fleet.membership().instances(group)) {
            if (asked.add(instance.endpoint())) {
                collectPosition(instance, term, step.getPlanned());
            }
        }
    }

    private void collectPosition(InstanceAnnouncement instance, long term, boolean planned) {
        FailoverPhase phaseAtStart = lastPhase;
        memberClient
                .call(
                        instance.target(),
                        connection ->
                                connection
                                        .memberStatus()
                                        .compose(
                                                status ->
                                                        disconnectReplica(
                                                                connection, status, planned, term)))
                .onComplete(
                        response -> {
                            asked.remove(instance.endpoint());
                            if (response.succeeded() && phaseAtStart == lastPhase) {
                                recordPosition(instance, term, response.result());
                            }
                        });
    }

    private static Future<MemberStatus> disconnectReplica(
            MemberConnection connection, MemberStatus status, boolean planned, long term) {
        if (status.primary() || planned) {
            return Future.succeededFuture(status);
        }
        return connection.stopReplication(term).compose(ignored -> connection.memberStatus());
    }

    private void recordPosition(InstanceAnnouncement instance, long term, MemberStatus status) {
        boolean ownTimeline = status.primary() || instance.followsAutomatically();
        long timeline = ownTimeline ? status.timeline() : instance.timeline();
        boolean otherTimeline = !status.primary() && timeline > term;
        if (otherTimeline) {
            LOG.debugf(
                    "group %s: %s has timeline %d, later than the term of the group",
                    group, instance.endpoint(), timeline);
        }
        positions.put(
                instance.endpoint(),
                MemberPosition.of(
                        log.configuration().group(group),
                        instance.endpoint(),
                        status.primary(),
                        timeline,
                        status.position()));
    }

    private void promote(EndpointId candidate) {
        InstanceAnnouncement instance = fleet.membership().instance(candidate, group);
        if (promoting || instance == null) {
            return;
        }
        promoting = true;
        PromotionOrder order = log.promotionOrder();
        memberClient
                .call(
                        instance.target(),
                        PROMOTE_TIMEOUT_MILLIS,
                        connection -> connection.promote(order))
                .onComplete(
                        response -> {
                            promoting = false;
                            if (response.succeeded()) {
                                MemberStatus status = response.result();
                                promotion =
                                        new MemberPosition(
                                                candidate,
                                                status.primary(),
                                                status.timeline(),
                                                status.position());
                            }
                        });
    }

    private void publish(FailoverAction.Publish publish, FailoverStep step) {
        HostPort address = address(publish.primary());
        if (address == null) {
            return;
        }
        propose(now -> FailoverChanges.publishPrimary(now, step, publish, address));
    }
}
