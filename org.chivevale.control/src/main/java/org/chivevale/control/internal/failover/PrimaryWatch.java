package org.chivevale.control.internal.failover;

import java.util.concurrent.TimeUnit;
import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.Group;
import org.chivevale.core.failover.LostPrimaryDetector;
import org.chivevale.core.failover.LostPrimaryDetector.Answer;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.database.DatabaseFailure;
import org.chivevale.database.MemberConnection;
import org.chivevale.database.MemberStatus;
import org.chivevale.database.MemberTarget;
import org.jboss.logging.Logger;

/**
 * Finds out whether a primary is lost although no proxy suspects it, as in a group without traffic.
 *
 * <p>The end of a registration is a loss: the endpoint has deregistered, or another one has its
 * address. A primary whose announcements have stopped, or that announces itself as a replica, is
 * called. Applies to groups whose endpoints register; proxies probe the primaries of all others.
 * Used on the event loop.
 */
final class PrimaryWatch {
    private static final Logger LOG = Logger.getLogger(PrimaryWatch.class);

    /** How long a primary that answers control is kept although proxies suspect it. */
    private static final long MAX_HOLD_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Matches any incarnation, since those of endpoints are positive. */
    private static final long EARLIEST_INCARNATION = 0;

    private final GroupId group;
    private final FailoverFleet fleet;
    private final MemberClient memberClient;

    /** Of the present doubt; a call that ends after its doubt has ended reports to no one. */
    private LostPrimaryDetector detector = new LostPrimaryDetector();

    private EndpointId watched;
    private long watchedTerm;
    private boolean isInDoubt;
    private boolean isSuspected;
    private long suspectedSinceNanos;

    PrimaryWatch(GroupId group, FailoverFleet fleet, MemberClient memberClient) {
        this.group = group;
        this.fleet = fleet;
        this.memberClient = memberClient;
    }

    /**
     * Checks the primary, and calls it if it is in doubt and a call is due.
     *
     * @param configuration contains the registrations
     * @param state the group with its primary
     * @param suspected true when proxies suspect the primary
     * @return why the primary is lost; null while it is not known to be
     */
    String findLoss(Configuration configuration, Group state, boolean suspected) {
        watch(state);
        updateSuspicion(suspected && mayWaitForReplicas(configuration));
        if (watched == null) {
            return null;
        }
        if (configuration.hasLeft(group, watched, EARLIEST_INCARNATION)) {
            return "its registration has ended";
        }
        String doubt = findDoubt(state);
        if (doubt == null) {
            endDoubt();
            return null;
        }
        if (!isInDoubt) {
            isInDoubt = true;
            LOG.infof("group %s: primary %s is called: %s", group, watched, doubt);
        }
        long now = fleet.nowNanos();
        if (detector.startCall(now)) {
            call(state, detector);
        }
        return detector.lossReason(now);
    }

    /**
     * Tells whether a suspected primary is to be replaced. One whose commits wait for replicas
     * leaves its proxies without replies although it is well, and another primary would wait for
     * the same replicas; so it is kept for some time while it answers control.
     *
     * @param suspected true when proxies suspect the primary
     * @return true when it is suspected and there is no such reason to keep it
     */
    boolean confirmsSuspicion(boolean suspected) {
        boolean isHeld =
                isSuspected
                        && !detector.hasFailed()
                        && fleet.nowNanos() - suspectedSinceNanos < MAX_HOLD_NANOS;
        return suspected && !isHeld;
    }

    private void updateSuspicion(boolean suspected) {
        if (suspected && !isSuspected) {
            suspectedSinceNanos = fleet.nowNanos();
        }
        isSuspected = suspected;
    }

    /** Returns true when replicas acknowledge writes and the primary can be called. */
    private boolean mayWaitForReplicas(Configuration configuration) {
        Database database = configuration.database(group.database());
        InstanceAnnouncement announced =
                watched == null ? null : fleet.membership().instance(watched, group);
        return database != null
                && database.isCoverageRequired()
                && announced != null
                && announced.followsAutomatically();
    }

    private void watch(Group state) {
        boolean isWatched = state.term() == watchedTerm && state.primary() != null;
        if (!isWatched || !state.primary().equals(watched)) {
            watched = state.primary();
            watchedTerm = state.term();
            detector = new LostPrimaryDetector();
            isInDoubt = false;
            isSuspected = false;
        }
    }

    private void endDoubt() {
        if (isInDoubt) {
            isInDoubt = false;
            detector = new LostPrimaryDetector();
            LOG.infof("group %s: primary %s is no longer in doubt", group, watched);
        }
    }

    /** Returns why the primary has to be called; null when there is no reason to. */
    private String findDoubt(Group state) {
        InstanceAnnouncement announced = fleet.membership().instance(watched, group);
        if (announced == null || !announced.followsAutomatically()) {
            return null;
        }
        if (isSuspected) {
            return "proxies suspect it, and its commits may be waiting for replicas";
        }
        long now = fleet.nowNanos();
        if (fleet.membership().isFresh(announced, now)) {
            return announced.primary() ? null : "it announces itself as a replica";
        }
        boolean servesProxies = fleet.failureDetector(group).isHealthy(watched, state.term(), now);
        return servesProxies ? null : "its announcements have stopped";
    }

    private void call(Group state, LostPrimaryDetector caller) {
        memberClient
                .call(
                        new MemberTarget(state.primary(), group, state.address()),
                        MemberConnection::memberStatus)
                .onComplete(
                        ended ->
                                caller.endCall(
                                        ended.succeeded()
                                                ? answer(ended.result())
                                                : answer(ended.cause()),
                                        fleet.nowNanos()));
    }

    private static Answer answer(MemberStatus status) {
        return status.primary() ? Answer.PRIMARY : Answer.REPLICA;
    }

    private static Answer answer(Throwable failure) {
        return DatabaseFailure.isNoFreeSlot(failure) ? Answer.BUSY : Answer.NONE;
    }
}
