package org.chivevale.core.failover;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chivevale.core.group.EndpointId;

/**
 * Decides the next step of replacing a primary.
 *
 * <p>A decision depends only on the log and on the members' responses since the fence came into
 * force, so a new leader decides alike. Invariants: no member is promoted before the fence is in
 * force; the candidate holds every write that may have been acknowledged, unless an operator
 * accepted a loss; a member that is not known to be in the group's regions is never chosen; an
 * evacuation never costs an acknowledged write; a term is published once. Immutable and thread
 * safe.
 */
public final class FailoverPolicy {
    private static final int RESPONSES_NEEDED_WITH_LOSS = 1;

    /**
     * How long to wait for members whose responses are needed, before what is known of the
     * acknowledged writes decides; an endpoint that has crashed may be back within this time.
     */
    private static final long ABSENT_MEMBERS_TIMEOUT_MILLIS = 8000;

    /**
     * How long to wait for a member that has not announced itself yet, if those that have lack an
     * acknowledged write; endpoints announce themselves more often. The position may also be that
     * of a write that was never acknowledged and that the primary alone held.
     */
    private static final long UNKNOWN_MEMBERS_TIMEOUT_MILLIS = 3000;

    private final long promotionTimeoutMillis;
    private final long catchUpTimeoutMillis;
    private final long gracePeriodMillis;

    /**
     * Creates a policy without a grace period.
     *
     * @param promotionTimeoutMillis maximum duration of a promotion before a candidate is chosen
     *     anew
     * @param catchUpTimeoutMillis maximum time that a switchover waits for a replica to catch up
     *     before the old primary is reinstated
     */
    public FailoverPolicy(long promotionTimeoutMillis, long catchUpTimeoutMillis) {
        this(promotionTimeoutMillis, catchUpTimeoutMillis, 0);
    }

    /**
     * Creates a policy.
     *
     * @param promotionTimeoutMillis maximum duration of a promotion before a candidate is chosen
     *     anew
     * @param catchUpTimeoutMillis maximum time that a switchover waits for a replica to catch up
     *     before the old primary is reinstated
     * @param gracePeriodMillis how long to wait for the remaining members once enough have
     *     responded; above 0, an unplanned failover whose primary turns out intact continues as a
     *     switchover
     */
    public FailoverPolicy(
            long promotionTimeoutMillis, long catchUpTimeoutMillis, long gracePeriodMillis) {
        this.promotionTimeoutMillis = promotionTimeoutMillis;
        this.catchUpTimeoutMillis = catchUpTimeoutMillis;
        this.gracePeriodMillis = gracePeriodMillis;
    }

    /**
     * Decides the next action.
     *
     * @param view the state in the log and the members' responses
     * @return the action, {@link FailoverAction.NoAction} for none
     */
    public FailoverAction next(FailoverView view) {
        if (view.phase() == null) {
            return startIfNeeded(view);
        }
        if (view.phase().isPromoting()) {
            return promote(view);
        }
        if (!view.fenceInForce()) {
            return new FailoverAction.NoAction();
        }
        return choose(view);
    }

    private static FailoverAction startIfNeeded(FailoverView view) {
        if (view.primary() == null) {
            return new FailoverAction.NoAction();
        }
        if (view.suspected()) {
            return new FailoverAction.Fence("suspected by a majority of its probers", false);
        }
        boolean isLost = view.lossReason() != null;
        if (isLost && view.eligibility().hasReplacementFor(view.primary())) {
            return new FailoverAction.Fence("lost: " + view.lossReason(), false);
        }
        if (view.shuttingDown()) {
            return new FailoverAction.Fence("the primary is leaving", true);
        }
        if (isLost) {
            return new FailoverAction.Blocked(
                    "the primary is lost: "
                            + view.lossReason()
                            + ", and no live replica can replace it");
        }
        return view.eligibility().isEvacuated(view.primary())
                ? startEvacuation(view)
                : new FailoverAction.NoAction();
    }

    private static FailoverAction startEvacuation(FailoverView view) {
        String cause = "the primary's data centre is evacuated";
        if (!view.eligibility().hasReplacementFor(view.primary())) {
            return new FailoverAction.Blocked(
                    cause
                            + ", and no live replica is elsewhere in "
                            + view.eligibility().describeRegions());
        }
        if (view.evacuationPaused()) {
            return new FailoverAction.Blocked(
                    cause
                            + ", and no replica caught up in the last attempt; retried after a pause");
        }
        return new FailoverAction.Fence(cause, true);
    }

    private FailoverAction choose(FailoverView view) {
        MemberPosition old = view.replaced() == null ? null : view.positions().get(view.replaced());
        boolean oldIntact = old != null && old.primary() && old.timeline() == view.term();
        boolean switchoverAllowed = view.planned() || gracePeriodMillis > 0;
        if (switchoverAllowed && oldIntact) {
            return switchOver(view, old);
        }
        boolean primaryMayAnswer = view.collectingForMillis() <= catchUpTimeoutMillis;
        if (old == null && mustLeaveEvacuated(view) && primaryMayAnswer) {
            return await(view, "the primary has not answered with its position yet");
        }
        String missing = findMissing(view);
        if (missing != null) {
            return await(view, missing + noteIfNonePermitted(view));
        }
        boolean moreExpected = view.positions().size() < view.knownMembers();
        if (moreExpected && view.collectingForMillis() < gracePeriodMillis) {
            return await(view, "waiting for further members to answer");
        }
        return chooseMostUpToDate(view, oldIntact ? old : null);
    }

    /**
     * Returns why the members that have answered may lack an acknowledged write; null when they may
     * not.
     */
    private static String findMissing(FailoverView view) {
        int answered = view.positions().size();
        if (view.phase().isLossAccepted()) {
            return answered < RESPONSES_NEEDED_WITH_LOSS ? "no member has answered" : null;
        }
        WriteCoverage coverage = view.coverage();
        boolean isKnownHeld =
                view.positions().values().stream()
                        .anyMatch(member -> coverage.isHeldBy(member, view.term()));
        if (answered < coverage.requiredResponses()) {
            boolean isProvenHeld = isKnownHeld && coverage.acknowledgedPosition() > 0;
            boolean isTimedOut = view.collectingForMillis() > ABSENT_MEMBERS_TIMEOUT_MILLIS;
            return isProvenHeld && isTimedOut
                    ? null
                    : answered
                            + " of the "
                            + coverage.requiredResponses()
                            + " members needed have answered with their positions";
        }
        long timeoutMillis =
                answered < coverage.expectedResponses()
                        ? ABSENT_MEMBERS_TIMEOUT_MILLIS
                        : UNKNOWN_MEMBERS_TIMEOUT_MILLIS;
        return isKnownHeld || view.collectingForMillis() > timeoutMillis
                ? null
                : "no member that has answered holds the acknowledged position "
                        + view.term()
                        + "."
                        + coverage.acknowledgedPosition();
    }

    /**
     * Chooses a member of an unplanned failover. Members outside the group's regions count for what
     * may have been acknowledged, but are not chosen.
     */
    private static FailoverAction chooseMostUpToDate(FailoverView view, MemberPosition intact) {
        PrimaryEligibility eligibility = view.eligibility();
        MemberPosition furthest = view.positions().values().stream().max(BY_PROGRESS).orElseThrow();
        Optional<MemberPosition> best =
                view.positions().values().stream()
                        .filter(member -> eligibility.isPermitted(member.endpoint()))
                        .max(
                                BY_PROGRESS
                                        .thenComparing(
                                                member ->
                                                        !eligibility.isEvacuated(member.endpoint()))
                                        .thenComparing(member -> member.endpoint().value()));
        boolean bestHasAll = best.isPresent() && hasSameProgress(best.get(), furthest);
        boolean intactHasAll = intact != null && hasSameProgress(intact, furthest);
        if (intactHasAll && (!bestHasAll || best.get().equals(intact))) {
            return new FailoverAction.Reinstate(intact.endpoint());
        }
        if (bestHasAll || best.isPresent() && view.phase().isLossAccepted()) {
            return new FailoverAction.Choose(best.get().endpoint());
        }
        return await(
                view,
                best.isEmpty()
                        ? "members have answered with their positions" + noteIfNonePermitted(view)
                        : furthest.endpoint()
                                + " holds writes that no member in "
                                + eligibility.describeRegions()
                                + " holds");
    }

    private FailoverAction switchOver(FailoverView view, MemberPosition old) {
        PrimaryEligibility eligibility = view.eligibility();
        Optional<MemberPosition> promotedBefore = findPromotedBefore(view, old);
        if (promotedBefore.isPresent()) {
            EndpointId promoted = promotedBefore.get().endpoint();
            return eligibility.isPermitted(promoted)
                    ? new FailoverAction.Choose(promoted)
                    : await(
                            view,
                            promoted
                                    + " is promoted, but is outside "
                                    + eligibility.describeRegions());
        }
        List<EndpointId> caughtUp = findCaughtUp(view, old);
        Optional<EndpointId> notEvacuated =
                caughtUp.stream().filter(member -> !eligibility.isEvacuated(member)).findFirst();
        if (notEvacuated.isPresent()) {
            return new FailoverAction.Choose(notEvacuated.get());
        }
        boolean timedOut = view.collectingForMillis() > catchUpTimeoutMillis;
        boolean isLastChoice = timedOut || !eligibility.hasReplacementFor(old.endpoint());
        if (!caughtUp.isEmpty() && isLastChoice && !mustLeaveEvacuated(view)) {
            return new FailoverAction.Choose(caughtUp.get(0));
        }
        if (timedOut) {
            return new FailoverAction.Reinstate(old.endpoint());
        }
        return await(
                view,
                "no replica "
                        + (eligibility.regions().isRestricted()
                                ? "in " + eligibility.describeRegions() + " "
                                : "")
                        + "has caught up with the primary yet");
    }

    /**
     * Finds a member that an earlier attempt has promoted; choosing another would start two
     * timelines with the same number.
     */
    private static Optional<MemberPosition> findPromotedBefore(
            FailoverView view, MemberPosition old) {
        return view.positions().values().stream()
                .filter(member -> member.timeline() > view.term())
                .filter(member -> member.position() >= old.position())
                .max(BY_PROGRESS.thenComparing(member -> member.endpoint().value()));
    }

    /** Lists the permitted replicas that hold all that the primary holds, by id. */
    private static List<EndpointId> findCaughtUp(FailoverView view, MemberPosition old) {
        return view.positions().values().stream()
                .filter(member -> !member.endpoint().equals(old.endpoint()))
                .filter(member -> member.timeline() == view.term())
                .filter(member -> member.position() >= old.position())
                .map(MemberPosition::endpoint)
                .filter(member -> view.preferred() == null || member.equals(view.preferred()))
                .filter(view.eligibility()::isPermitted)
                .sorted(Comparator.comparing(EndpointId::value))
                .toList();
    }

    /**
     * Tells whether a switchover is of use only if the new primary is not evacuated. A primary that
     * is shutting down is handed over to an evacuated replica rather than lost.
     */
    private static boolean mustLeaveEvacuated(FailoverView view) {
        return view.planned()
                && view.eligibility().isEvacuated(view.replaced())
                && !view.shuttingDown();
    }

    private static String noteIfNonePermitted(FailoverView view) {
        Set<EndpointId> answered = view.positions().keySet();
        boolean anyPermitted = answered.stream().anyMatch(view.eligibility()::isPermitted);
        return answered.isEmpty() || anyPermitted
                ? ""
                : ", none of them in " + view.eligibility().describeRegions();
    }

    private static FailoverAction await(FailoverView view, String reason) {
        return view.collectingForMillis() == 0
                ? new FailoverAction.Collect()
                : new FailoverAction.Blocked(reason);
    }

    private FailoverAction promote(FailoverView view) {
        MemberPosition response = view.promotionResponse();
        boolean promoted =
                response != null && response.primary() && response.timeline() > view.term();
        if (promoted) {
            return new FailoverAction.Publish(
                    response.endpoint(), response.timeline(), response.position());
        }
        boolean mayPromote = !view.eligibility().isOutside(view.candidate());
        if (view.promotingForMillis() > promotionTimeoutMillis || !mayPromote) {
            return new FailoverAction.AbandonCandidate();
        }
        return new FailoverAction.Promote(view.candidate());
    }

    private static boolean hasSameProgress(MemberPosition one, MemberPosition other) {
        return BY_PROGRESS.compare(one, other) == 0;
    }

    private static final Comparator<MemberPosition> BY_PROGRESS =
            Comparator.comparingLong(MemberPosition::timeline)
                    .thenComparingLong(MemberPosition::position);
}
