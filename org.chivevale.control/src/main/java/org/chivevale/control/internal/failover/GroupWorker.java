package org.chivevale.control.internal.failover;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivevale.control.internal.fleet.FleetService;
import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.control.internal.log.LogService;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.Group;
import org.chivevale.core.failover.FailoverAction;
import org.chivevale.core.failover.FailoverPhase;
import org.chivevale.core.failover.FailoverPolicy;
import org.chivevale.core.failover.FailoverView;
import org.chivevale.core.failover.MemberPosition;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.MemberConnection;
import org.chivevale.database.MemberStatus;
import org.chivevale.database.PromotionOrder;
import org.chivevale.process.EventLoop;
import org.chivevale.wire.proto.FailoverStep;
import org.jboss.logging.Logger;

/**
 * Carries out the replacement of one group's primary, step by step.
 *
 * <p>All that must survive is in the log; this class only remembers what members have answered
 * since the last step. Used on the event loop.
 */
final class GroupWorker {
    private static final Logger LOG = Logger.getLogger(GroupWorker.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long COLLECT_AGAIN_MILLIS = 60;
    private static final long PROMOTE_TIMEOUT_MILLIS = 2000;
    private static final long REST_MILLIS = 1500;
    private static final String OPERATOR = "failover";

    private final GroupId group;
    private final LogService log;
    private final FleetService fleet;
    private final MemberCaller members;
    private final FailoverPolicy policy;
    private final FailoverTimes times;
    private final Map<EndpointId, MemberPosition> positions = new HashMap<>();
    private FailoverPhase lastPhase;
    private long fenceVersion;
    private long collectingSinceNanos;
    private long collectedAtNanos;
    private boolean collecting;
    private MemberPosition promotion;
    private long promotingSinceNanos;
    private boolean promoting;
    private long reinstatedNanos = EventLoop.nowNanos() - REST_MILLIS * NANOS_PER_MILLI;
    private boolean proposing;
    private String blockedReason = "";

    GroupWorker(
            GroupId group,
            LogService log,
            FleetService fleet,
            MemberCaller members,
            FailoverPolicy policy,
            FailoverTimes times) {
        this.group = group;
        this.log = log;
        this.fleet = fleet;
        this.members = members;
        this.policy = policy;
        this.times = times;
    }

    String blockedReason() {
        return blockedReason;
    }

    /** Takes the next step, if there is one. */
    void tick() {
        if (proposing) {
            return;
        }
        Configuration configuration = log.state().configuration();
        FailoverStep step = configuration.failovers().get(group.toString());
        FailoverPhase phase = step == null ? null : FailoverPhase.valueOf(step.getPhase());
        if (phase != lastPhase) {
            phaseChanged(phase, configuration.version());
        }
        FailoverAction action = policy.next(view(configuration, phase, step));
        blockedReason = "";
        perform(action, configuration, step);
    }

    private void phaseChanged(FailoverPhase phase, long version) {
        long now = EventLoop.nowNanos();
        times.phaseChanged(group, lastPhase, phase, now);
        boolean stillPromoting =
                phase != null && lastPhase != null && phase.promoting() && lastPhase.promoting();
        lastPhase = phase;
        fenceVersion = version;
        positions.clear();
        collectingSinceNanos = 0;
        if (!stillPromoting) {
            promotion = null;
            promotingSinceNanos = now;
        }
    }

    private FailoverView view(Configuration configuration, FailoverPhase phase, FailoverStep step) {
        long now = EventLoop.nowNanos();
        Group state = configuration.group(group);
        Database database = configuration.database(group.database());
        EndpointId primary = state.primary();
        InstanceAnnouncement announced =
                primary == null ? null : fleet.membership().instance(primary, group);
        boolean watching =
                phase == null && primary != null && millisSince(reinstatedNanos, now) > REST_MILLIS;
        return new FailoverView(
                phase,
                state.term(),
                primary,
                step == null ? null : endpoint(step.getReplacedEndpointId()),
                step == null ? null : endpoint(step.getCandidateEndpointId()),
                step != null && step.getPlanned(),
                step == null ? null : endpoint(step.getPreferredEndpointId()),
                watching && fleet.board(group).suspected(primary, state.term(), now),
                watching && announced != null && announced.leaving(),
                phase != null && fleet.leases().inForce(fenceVersion, now),
                database == null ? 1 : database.answersForPromotion(),
                fleet.membership().instances(group).size(),
                positions,
                collectingSinceNanos == 0 ? 0 : millisSince(collectingSinceNanos, now),
                promotion,
                millisSince(promotingSinceNanos, now));
    }

    private static EndpointId endpoint(String id) {
        return id.isEmpty() ? null : new EndpointId(id);
    }

    private static long millisSince(long startNanos, long nowNanos) {
        return Math.max(1, (nowNanos - startNanos) / NANOS_PER_MILLI);
    }

    private void perform(FailoverAction action, Configuration configuration, FailoverStep step) {
        if (action instanceof FailoverAction.Fence fence) {
            Group state = configuration.group(group);
            propose(ignored -> FailoverChanges.fence(state, fence.reason(), leaving(fence)));
        } else if (action instanceof FailoverAction.Collect) {
            collect(configuration, step);
        } else if (action instanceof FailoverAction.Blocked blocked) {
            blockedReason = blocked.reason();
            collect(configuration, step);
        } else if (action instanceof FailoverAction.Choose choose) {
            times.collected(group, EventLoop.nowNanos());
            propose(now -> FailoverChanges.choose(now, step, choose.candidate()));
        } else if (action instanceof FailoverAction.Reinstate reinstate) {
            HostPort address = address(reinstate.primary());
            if (address != null) {
                reinstatedNanos = EventLoop.nowNanos();
                propose(now -> FailoverChanges.reinstate(now, step, reinstate.primary(), address));
            }
        } else if (action instanceof FailoverAction.Promote promote) {
            promote(promote.candidate());
        } else if (action instanceof FailoverAction.Publish publish) {
            publish(publish, step);
        } else if (action instanceof FailoverAction.Reconsider) {
            promotion = null;
            propose(now -> FailoverChanges.reconsider(now, step));
        }
    }

    private boolean leaving(FailoverAction.Fence fence) {
        return !fence.reason().startsWith("suspected");
    }

    private HostPort address(EndpointId endpoint) {
        InstanceAnnouncement instance = fleet.membership().instance(endpoint, group);
        return instance == null ? null : instance.address();
    }

    private void propose(LogService.ChangeMaker maker) {
        proposing = true;
        log.propose(OPERATOR, "", maker)
                .onComplete(
                        ended -> {
                            proposing = false;
                            if (ended.failed()) {
                                LOG.warnf("group %s: step not taken: %s", group, ended.cause());
                            }
                        });
    }

    private void collect(Configuration configuration, FailoverStep step) {
        long now = EventLoop.nowNanos();
        boolean tooSoon =
                collectedAtNanos != 0 && millisSince(collectedAtNanos, now) < COLLECT_AGAIN_MILLIS;
        if (collecting || collectingSinceNanos != 0 && tooSoon) {
            return;
        }
        collecting = true;
        collectedAtNanos = now;
        if (collectingSinceNanos == 0) {
            collectingSinceNanos = now;
            times.fenced(group, now);
        }
        long term = configuration.group(group).term();
        int[] open = {0};
        List<InstanceAnnouncement> instances = fleet.membership().instances(group);
        for (InstanceAnnouncement instance : instances) {
            open[0]++;
            ask(instance, term, step.getPlanned(), () -> collecting = --open[0] > 0);
        }
        collecting = open[0] > 0;
    }

    private void ask(InstanceAnnouncement instance, long term, boolean planned, Runnable ended) {
        FailoverPhase asked = lastPhase;
        members.call(
                        instance.target(),
                        connection ->
                                connection
                                        .memberStatus()
                                        .compose(
                                                status ->
                                                        cutIfReplica(
                                                                connection, status, planned, term)))
                .onComplete(
                        answer -> {
                            ended.run();
                            if (answer.succeeded() && asked == lastPhase) {
                                note(instance, term, answer.result());
                            }
                        });
    }

    private static Future<MemberStatus> cutIfReplica(
            MemberConnection connection, MemberStatus status, boolean planned, long term) {
        if (status.primary() || planned) {
            return Future.succeededFuture(status);
        }
        return connection.stopReplication(term).compose(ignored -> connection.memberStatus());
    }

    private void note(InstanceAnnouncement instance, long term, MemberStatus status) {
        boolean ownTimeline = status.primary() || instance.followsByItself();
        long timeline = ownTimeline ? status.timeline() : instance.timeline();
        boolean foreign = !status.primary() && timeline > term;
        if (foreign) {
            LOG.debugf("group %s: %s is in timeline %d", group, instance.endpoint(), timeline);
        }
        positions.put(
                instance.endpoint(),
                new MemberPosition(
                        instance.endpoint(), status.primary(), timeline, status.position()));
    }

    private void promote(EndpointId candidate) {
        InstanceAnnouncement instance = fleet.membership().instance(candidate, group);
        if (promoting || instance == null) {
            return;
        }
        promoting = true;
        PromotionOrder order =
                new PromotionOrder(log.processId(), log.state().term(), log::leading);
        members.call(
                        instance.target(),
                        PROMOTE_TIMEOUT_MILLIS,
                        connection -> connection.promote(order))
                .onComplete(
                        answer -> {
                            promoting = false;
                            if (answer.succeeded()) {
                                MemberStatus status = answer.result();
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
        propose(now -> FailoverChanges.publish(now, step, publish, address));
    }
}
