package org.chivevale.core.failover;

import java.util.Comparator;
import java.util.Optional;
import org.chivevale.core.group.EndpointId;

/**
 * Decides the next step of replacing a primary.
 *
 * <p>Each decision depends only on the log and on what members answered since, so a new leader
 * takes the same one. Invariants: nobody is promoted before the fence is in force; the candidate
 * holds every write that may have been acknowledged, unless an operator accepted a loss; a term is
 * published once. Stateless and thread safe.
 */
public final class FailoverPolicy {
    private static final int ANSWERS_WITH_LOSS = 1;

    private final long promotionPatienceMillis;
    private final long handOverPatienceMillis;
    private final long settleMillis;

    /**
     * Creates a policy.
     *
     * @param promotionPatienceMillis how long a candidate may take before another is chosen
     * @param handOverPatienceMillis how long a hand-over waits for its candidate to catch up before
     *     the old primary is reinstated
     */
    public FailoverPolicy(long promotionPatienceMillis, long handOverPatienceMillis) {
        this(promotionPatienceMillis, handOverPatienceMillis, 0);
    }

    /**
     * Creates the policy.
     *
     * @param promotionPatienceMillis time after which a promotion is given up
     * @param handOverPatienceMillis time that replicas get to catch up in a planned change
     * @param settleMillis time that members get to answer beyond those that are needed
     */
    public FailoverPolicy(
            long promotionPatienceMillis, long handOverPatienceMillis, long settleMillis) {
        this.promotionPatienceMillis = promotionPatienceMillis;
        this.handOverPatienceMillis = handOverPatienceMillis;
        this.settleMillis = settleMillis;
    }

    /**
     * Decides.
     *
     * @param view the log and the answers
     * @return what to do now
     */
    public FailoverAction next(FailoverView view) {
        if (view.phase() == null) {
            return watch(view);
        }
        if (view.phase().promoting()) {
            return promote(view);
        }
        if (!view.fenceInForce()) {
            return new FailoverAction.Rest();
        }
        return choose(view);
    }

    private static FailoverAction watch(FailoverView view) {
        if (view.primary() == null) {
            return new FailoverAction.Rest();
        }
        if (view.suspected()) {
            return new FailoverAction.Fence("suspected by a majority of its probers");
        }
        if (view.leaving()) {
            return new FailoverAction.Fence("the primary is leaving");
        }
        return new FailoverAction.Rest();
    }

    private FailoverAction choose(FailoverView view) {
        MemberPosition old = view.replaced() == null ? null : view.positions().get(view.replaced());
        boolean oldUnharmed = old != null && old.primary() && old.timeline() == view.term();
        boolean movable = view.planned() || settleMillis > 0;
        if (movable && oldUnharmed) {
            return handOver(view, old);
        }
        int needed = view.phase().withLoss() ? ANSWERS_WITH_LOSS : view.answersNeeded();
        if (view.positions().size() < needed) {
            return view.collectingForMillis() == 0
                    ? new FailoverAction.Collect()
                    : new FailoverAction.Blocked(
                            view.positions().size()
                                    + " of the "
                                    + needed
                                    + " members needed have answered with their positions");
        }
        boolean moreExpected = view.positions().size() < view.membersKnown();
        if (moreExpected && view.collectingForMillis() < settleMillis) {
            return view.collectingForMillis() == 0
                    ? new FailoverAction.Collect()
                    : new FailoverAction.Blocked("members may still answer");
        }
        Optional<MemberPosition> furthest = view.positions().values().stream().max(BY_PROGRESS);
        MemberPosition best = furthest.orElseThrow();
        if (oldUnharmed && best.equals(old)) {
            return new FailoverAction.Reinstate(old.endpoint());
        }
        return new FailoverAction.Choose(best.endpoint());
    }

    private FailoverAction handOver(FailoverView view, MemberPosition old) {
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
        if (view.collectingForMillis() > handOverPatienceMillis) {
            return new FailoverAction.Reinstate(old.endpoint());
        }
        return view.collectingForMillis() == 0
                ? new FailoverAction.Collect()
                : new FailoverAction.Blocked("no replica has caught up with the primary yet");
    }

    private FailoverAction promote(FailoverView view) {
        MemberPosition answer = view.promotion();
        boolean promoted = answer != null && answer.primary() && answer.timeline() > view.term();
        if (promoted) {
            return new FailoverAction.Publish(
                    answer.endpoint(), answer.timeline(), answer.position());
        }
        if (view.promotingForMillis() > promotionPatienceMillis) {
            return new FailoverAction.Reconsider();
        }
        return new FailoverAction.Promote(view.candidate());
    }

    private static final Comparator<MemberPosition> BY_PROGRESS =
            Comparator.comparingLong(MemberPosition::timeline)
                    .thenComparingLong(MemberPosition::position)
                    .thenComparing(member -> member.endpoint().value());
}
