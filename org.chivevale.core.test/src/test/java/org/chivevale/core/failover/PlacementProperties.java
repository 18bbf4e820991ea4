package org.chivevale.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;

/**
 * Decisions of the failover policy where data centres are evacuated and routes name regions. Guards
 * against a primary outside the regions, against an evacuation that loses writes, and against
 * changes for groups that have neither.
 */
class PlacementProperties {
    private static final EndpointId A = FailoverViews.MEMBERS.get(0);
    private static final EndpointId B = FailoverViews.MEMBERS.get(1);
    private static final EndpointId C = FailoverViews.MEMBERS.get(2);
    private static final int TRIES = 5000;

    private final FailoverPolicy policy = new FailoverPolicy(3000, 1500);
    private final FailoverPolicy gracePolicy = new FailoverPolicy(3000, 1500, 300);

    private FailoverPolicy anyPolicy(SplittableRandom random) {
        return random.nextBoolean() ? policy : gracePolicy;
    }

    @Property(tries = TRIES, seed = "20261204")
    void noMemberOutsideTheRegionsIsChosenOrPromoted(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PrimaryEligibility eligibility = FailoverViews.eligibility(random);
        FailoverView view = FailoverViews.view(random, eligibility);
        FailoverAction action = anyPolicy(random).next(view);
        if (action instanceof FailoverAction.Choose choose) {
            assertTrue(eligibility.isPermitted(choose.candidate()), view.toString());
        } else if (action instanceof FailoverAction.Promote promote) {
            assertFalse(eligibility.isOutside(promote.candidate()), view.toString());
        }
    }

    @Property(tries = TRIES, seed = "20261204")
    void aSwitchoverLosesNoWriteAndLeavesAnEvacuatedDataCenter(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PrimaryEligibility eligibility = FailoverViews.eligibility(random);
        FailoverView view = FailoverViews.view(random, eligibility);
        MemberPosition old = view.positions().get(A);
        boolean intact = old != null && old.primary() && old.timeline() == view.term();
        boolean chooses = policy.next(view) instanceof FailoverAction.Choose;
        if (!intact || !chooses || !view.planned()) {
            return;
        }
        EndpointId chosen = ((FailoverAction.Choose) policy.next(view)).candidate();
        MemberPosition position = view.positions().get(chosen);
        assertTrue(position.position() >= old.position(), view.toString());
        assertTrue(position.timeline() >= view.term(), view.toString());
        boolean promotedBefore = position.timeline() > view.term();
        if (eligibility.isEvacuated(A) && !view.shuttingDown() && !promotedBefore) {
            assertFalse(eligibility.isEvacuated(chosen), view.toString());
        }
    }

    @Property(tries = TRIES, seed = "20261204")
    void anUnplannedFailoverLosesNoWriteForTheSakeOfAnEvacuation(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PrimaryEligibility eligibility = FailoverViews.eligibility(random);
        FailoverView view = FailoverViews.view(random, eligibility);
        boolean unplanned =
                view.phase() == FailoverPhase.FENCING && view.fenceInForce() && !view.planned();
        if (unplanned && policy.next(view) instanceof FailoverAction.Choose choose) {
            MemberPosition chosen = view.positions().get(choose.candidate());
            for (MemberPosition other : view.positions().values()) {
                boolean same =
                        other.timeline() == chosen.timeline()
                                && other.position() == chosen.position();
                boolean better = same && eligibility.isPermitted(other.endpoint());
                assertTrue(same || isAhead(chosen, other), view.toString());
                assertTrue(
                        !better
                                || eligibility.isEvacuated(other.endpoint())
                                || !eligibility.isEvacuated(chosen.endpoint()),
                        view.toString());
            }
        }
    }

    private static boolean isAhead(MemberPosition one, MemberPosition other) {
        return one.timeline() > other.timeline()
                || one.timeline() == other.timeline() && one.position() > other.position();
    }

    @Property(tries = TRIES, seed = "20261204")
    void anEvacuatedPrimaryIsFencedOnlyIfALiveReplicaMayReplaceIt(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PrimaryEligibility eligibility = FailoverViews.eligibility(random);
        FailoverView view = FailoverViews.view(random, eligibility);
        if (view.phase() != null || view.suspected() || view.shuttingDown()) {
            return;
        }
        FailoverAction action = policy.next(view);
        if (!eligibility.isEvacuated(A)) {
            assertInstanceOf(FailoverAction.NoAction.class, action);
        } else if (action instanceof FailoverAction.Fence fence) {
            assertTrue(fence.planned() && !view.evacuationPaused(), view.toString());
            assertTrue(
                    eligibility.liveReplicas().stream()
                            .filter(member -> !member.equals(A) && eligibility.isPermitted(member))
                            .anyMatch(member -> !eligibility.isEvacuated(member)),
                    view.toString());
        } else {
            assertInstanceOf(FailoverAction.Blocked.class, action);
            assertTrue(
                    view.evacuationPaused() || !eligibility.hasReplacementFor(A), view.toString());
        }
    }

    /**
     * Fencing a lost primary that nobody can replace would only end the reads that it may serve.
     */
    @Property(tries = TRIES, seed = "20261205")
    void aLostPrimaryIsFencedOnlyIfALiveReplicaMayReplaceIt(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PrimaryEligibility eligibility = FailoverViews.eligibility(random);
        FailoverView view = FailoverViews.lost(FailoverViews.view(random, eligibility));
        if (view.phase() != null || view.suspected() || view.shuttingDown()) {
            return;
        }
        FailoverAction action = policy.next(view);
        if (eligibility.hasReplacementFor(A)) {
            assertTrue(
                    action instanceof FailoverAction.Fence fence && !fence.planned(),
                    view.toString());
        } else {
            assertInstanceOf(FailoverAction.Blocked.class, action);
        }
    }

    /** A configuration whose evacuations and regions concern no member decides as one without. */
    @Property(tries = TRIES, seed = "20261204")
    void withoutEvacuationsAndRegionsEveryDecisionIsAsBefore(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<MemberPlace> places = FailoverViews.places(random);
        FailoverView view = FailoverViews.view(random, PrimaryEligibility.UNRESTRICTED);
        List<PrimaryEligibility> equivalent =
                List.of(
                        FailoverViews.eligibility(
                                FailoverViews.configuration(List.of(), List.of()), places),
                        FailoverViews.eligibility(
                                FailoverViews.configuration(
                                        List.of(List.of("r-0", "r-1", "r-2"), List.of()),
                                        List.of("dc-9")),
                                places));
        FailoverPolicy any = anyPolicy(random);
        FailoverAction expected = any.next(view);
        for (PrimaryEligibility eligibility : equivalent) {
            FailoverAction action = any.next(FailoverViews.withEligibility(view, eligibility));
            if (expected instanceof FailoverAction.Blocked) {
                assertInstanceOf(FailoverAction.Blocked.class, action);
            } else {
                assertEquals(expected, action, view.toString());
            }
        }
    }

    @Example
    void theReasonNamesTheRegionsWhenNoMemberInThemIsLeft() {
        PrimaryEligibility eligibility =
                FailoverViews.eligibility(
                        FailoverViews.configuration(List.of(List.of("r-1")), List.of()),
                        List.of(
                                new MemberPlace(A, "r-1", "dc-1", false),
                                new MemberPlace(B, "r-2", "dc-2", true),
                                new MemberPlace(C, "r-3", "dc-3", true)));
        for (List<EndpointId> answering : List.of(List.of(B), List.of(B, C))) {
            FailoverAction action = policy.next(fenced(eligibility, answering, false, false, 10));
            assertTrue(
                    action instanceof FailoverAction.Blocked blocked
                            && blocked.reason().contains("regions [r-1]"),
                    action.toString());
        }
    }

    /** The primary alone may hold acknowledged writes if it acknowledges without replicas. */
    @Example
    void aPlannedSwitchoverOfAnEvacuatedPrimaryAwaitsItsPosition() {
        PrimaryEligibility eligibility = evacuated(List.of("dc-1"));
        assertInstanceOf(
                FailoverAction.Blocked.class,
                policy.next(fenced(eligibility, List.of(B, C), true, false, 1500)));
        assertEquals(
                new FailoverAction.Choose(C),
                policy.next(fenced(eligibility, List.of(B, C), true, false, 1501)));
    }

    /** Guards against a primary that shuts down without a successor. */
    @Example
    void aPrimaryThatShutsDownIsHandedOverToAnEvacuatedReplicaIfNoOtherIsLeft() {
        PrimaryEligibility eligibility = evacuated(List.of("dc-1", "dc-2", "dc-3"));
        assertEquals(
                new FailoverAction.Choose(B),
                policy.next(fenced(eligibility, List.of(A, B, C), true, true, 10)));
        assertEquals(
                new FailoverAction.Reinstate(A),
                policy.next(fenced(eligibility, List.of(A, B, C), true, false, 1501)));
    }

    private static PrimaryEligibility evacuated(List<String> dataCenters) {
        return FailoverViews.eligibility(
                FailoverViews.configuration(List.of(), dataCenters),
                List.of(
                        new MemberPlace(A, "r-1", "dc-1", false),
                        new MemberPlace(B, "r-2", "dc-2", true),
                        new MemberPlace(C, "r-3", "dc-3", true)));
    }

    private static FailoverView fenced(
            PrimaryEligibility eligibility,
            List<EndpointId> answering,
            boolean planned,
            boolean shuttingDown,
            long collectingForMillis) {
        Map<EndpointId, MemberPosition> positions = new HashMap<>();
        for (EndpointId id : answering) {
            positions.put(id, new MemberPosition(id, id.equals(A), FailoverViews.TERM, 7));
        }
        return new FailoverView(
                FailoverPhase.FENCING,
                FailoverViews.TERM,
                null,
                A,
                null,
                planned,
                null,
                false,
                null,
                shuttingDown,
                true,
                WriteCoverage.of(2),
                3,
                positions,
                collectingForMillis,
                null,
                10,
                eligibility,
                false);
    }

    @Example
    void theRegionsOfAGroupAreThoseOfAllItsRoutes() {
        assertEquals(AllowedRegions.ANY, regions(List.of(List.of(), List.of())));
        assertEquals(Set.of("x"), regions(List.of(List.of("x", "y"), List.of("x"))).names());
        assertEquals(
                Set.of("x", "y"),
                regions(List.of(List.of("x"), List.of("y"), List.of())).names(),
                "routes that exclude each other are served by a primary in either region");
    }

    private static AllowedRegions regions(List<List<String>> regionsOfRoutes) {
        return GroupRegions.of(
                FailoverViews.configuration(regionsOfRoutes, List.of()), FailoverViews.DATABASE);
    }

    @Example
    void thePauseBetweenSwitchoversDoublesUpToEightSeconds() {
        SwitchoverBackoff backoff = new SwitchoverBackoff();
        assertFalse(backoff.isPaused(0));
        long now = 0;
        for (long seconds : List.of(1L, 2L, 4L, 8L, 8L)) {
            backoff.recordReinstated(now);
            now += TimeUnit.SECONDS.toNanos(seconds);
            assertTrue(backoff.isPaused(now - 1));
            assertFalse(backoff.isPaused(now));
        }
        backoff.recordReinstated(now);
        backoff.reset();
        assertFalse(backoff.isPaused(now));
    }

    /** Guards against a switchover that never ends, since nothing was written in the new term. */
    @Example
    void aReplicaOfAnEarlierTermCountsAsCurrentOnlyIfAllItHoldsSurvived() {
        Group group = new Group(new GroupId("orders", 0), 3, A, null, Map.of(2L, 50L, 3L, 100L));
        assertEquals(3, MemberPosition.of(group, B, false, 2, 100).timeline());
        assertEquals(2, MemberPosition.of(group, B, false, 2, 101).timeline());
        assertEquals(1, MemberPosition.of(group, B, false, 1, 60).timeline());
        assertEquals(4, MemberPosition.of(group, B, false, 4, 0).timeline());
        assertEquals(2, MemberPosition.of(group, B, true, 2, 100).timeline());
        Group first = new Group(group.id(), 1, A, null, Map.of());
        assertEquals(0, MemberPosition.of(first, B, false, 0, 5).timeline());
        assertEquals(1, MemberPosition.of(first, B, false, 0, 0).timeline());
    }
}
