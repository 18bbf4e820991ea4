package org.chivevale.control.internal.failover;

import org.chivevale.control.internal.fleet.InstanceAnnouncement;
import org.chivevale.core.config.Configuration;
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

    /** Matches any incarnation, since those of endpoints are positive. */
    private static final long EARLIEST_INCARNATION = 0;

    private final GroupId group;
    private final FailoverFleet fleet;
    private final MemberClient memberClient;
    private LostPrimaryDetector detector = new LostPrimaryDetector();
    private EndpointId watched;
    private long watchedTerm;
    private boolean isInDoubt;

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
     * @return why the primary is lost; null while it is not known to be
     */
    String findLoss(Configuration configuration, Group state) {
        watch(state);
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

    private void watch(Group state) {
        boolean isWatched = state.term() == watchedTerm && state.primary() != null;
        if (!isWatched || !state.primary().equals(watched)) {
            watched = state.primary();
            watchedTerm = state.term();
            detector = new LostPrimaryDetector();
            isInDoubt = false;
        }
    }

    private void endDoubt() {
        if (isInDoubt) {
            isInDoubt = false;
            detector.reset();
            LOG.infof("group %s: primary %s is no longer in doubt", group, watched);
        }
    }

    /** Returns why the primary has to be called; null when there is no reason to. */
    private String findDoubt(Group state) {
        InstanceAnnouncement announced = fleet.membership().instance(watched, group);
        if (announced == null || !announced.followsAutomatically()) {
            return null;
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
        boolean isBusy =
                failure instanceof DatabaseFailure known
                        && known.kind() == DatabaseFailure.Kind.NO_FREE_SLOT;
        return isBusy ? Answer.BUSY : Answer.NONE;
    }
}
