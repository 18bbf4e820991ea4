package org.chivevale.core.failover;

import java.util.Comparator;
import java.util.Optional;
import org.chivevale.core.group.EndpointId;

/**
 * Decides the next step of replacing a primary.
 *
 * <p>A decision depends only on the log and on the members' responses since the fence came into
 * force, so a new leader decides alike. Invariants: no member is promoted before the fence is in
 * force; the candidate holds every write that may have been acknowledged, unless an operator
 * accepted a loss; a term is published once. Immutable and thread safe.
 */
public final class FailoverPolicy {
    private static final int RESPONSES_NEEDED_WITH_LOSS = 1;

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
            return new FailoverAction.Fence("suspected by a majority of its probers");
        }
        if (view.shuttingDown()) {
            return new FailoverAction.Fence("the primary is leaving");
        }
        return new FailoverAction.NoAction();
    }

    private FailoverAction choose(FailoverView view) {
        MemberPosition old = view.replaced() == null ? null : view.positions().get(view.replaced());
        boolean oldIntact = old != null && old.primary() && old.timeline() == view.term();
        boolean switchoverAllowed = view.planned() || gracePeriodMillis > 0;
        if (switchoverAllowed && oldIntact) {
            return switchOver(view, old);
        }
        int needed =
                view.phase().isLossAccepted()
                        ? RESPONSES_NEEDED_WITH_LOSS
                        : view.requiredResponses();
        if (view.positions().size() < needed) {
            return view.collectingForMillis() == 0
                    ? new FailoverAction.Collect()
                    : new FailoverAction.Blocked(
                            view.positions().size()
                                    + " of the "
                                    + needed
                                    + " members needed have answered with their positions");
        }
        boolean moreExpected = view.positions().size() < view.knownMembers();
        if (moreExpected && view.collectingForMillis() < gracePeriodMillis) {
            return view.collectingForMillis() == 0
                    ? new FailoverAction.Collect()
                    : new FailoverAction.Blocked("waiting for further members to answer");
        }
        Optional<MemberPosition> mostUpToDate = view.positions().values().stream().max(BY_PROGRESS);
        MemberPosition best = mostUpToDate.orElseThrow();
        if (oldIntact && best.equals(old)) {
            return new FailoverAction.Reinstate(old.endpoint());
        }
        return new FailoverAction.Choose(best.endpoint());
    }

    private FailoverAction switchOver(FailoverView view, MemberPosition old) {
        Optional<EndpointId> caughtUp =
                view.positions().values().stream()
                        .filter(member -> !member.endpoint().equals(old.endpoint()))
                        .filter(member -> member.position() >= old.position())
                        .filter(
                                member ->
                                        view.preferred() == null
                                                || member.endpoint().equals(view.preferred()))
                        .map(MemberPosition::endpoint)
                        .min(Comparator.comparing(EndpointId::value));
        if (caughtUp.isPresent()) {
            return new FailoverAction.Choose(caughtUp.get());
        }
        if (view.collectingForMillis() > catchUpTimeoutMillis) {
            return new FailoverAction.Reinstate(old.endpoint());
        }
        return view.collectingForMillis() == 0
                ? new FailoverAction.Collect()
                : new FailoverAction.Blocked("no replica has caught up with the primary yet");
    }

    private FailoverAction promote(FailoverView view) {
        MemberPosition response = view.promotionResponse();
        boolean promoted =
                response != null && response.primary() && response.timeline() > view.term();
        if (promoted) {
            return new FailoverAction.Publish(
                    response.endpoint(), response.timeline(), response.position());
        }
        if (view.promotingForMillis() > promotionTimeoutMillis) {
            return new FailoverAction.AbandonCandidate();
        }
        return new FailoverAction.Promote(view.candidate());
    }

    private static final Comparator<MemberPosition> BY_PROGRESS =
            Comparator.comparingLong(MemberPosition::timeline)
                    .thenComparingLong(MemberPosition::position)
                    .thenComparing(member -> member.endpoint().value());
}
