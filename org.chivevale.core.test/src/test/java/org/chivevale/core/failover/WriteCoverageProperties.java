package org.chivevale.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.config.Database;
import org.chivevale.core.group.EndpointId;

/**
 * Guards against a promotion that loses an acknowledged write since the number of members has
 * changed: one is being replaced, one has crashed, one has no capacity to answer, one receives
 * writes and has not announced itself. Guards also against a group that waits for ever for a member
 * whose writes the others have.
 */
class WriteCoverageProperties {
    private static final Database DATABASE = new Database("orders", 1, true, 2, 0, 0, 0);
    private static final List<Long> COLLECTING_MILLIS = List.of(10L, 301L, 1600L, 3001L, 8001L);

    private final FailoverPolicy policy = new FailoverPolicy(4000, 1000, 300);

    private static FailoverView view(
            WriteCoverage coverage,
            Map<EndpointId, MemberPosition> positions,
            long collectingForMillis,
            FailoverPhase phase) {
        return new FailoverView(
                phase,
                1,
                null,
                SynchronousGroup.PRIMARY,
                null,
                false,
                null,
                false,
                null,
                false,
                true,
                coverage,
                positions.size(),
                positions,
                collectingForMillis,
                null,
                0,
                PrimaryEligibility.UNRESTRICTED,
                false);
    }

    @Property(tries = 20_000, seed = "20261205")
    void theChosenMemberHoldsEveryAcknowledgedWrite(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SynchronousGroup group = SynchronousGroup.play(random);
        group.losePrimary();
        for (long millis : COLLECTING_MILLIS) {
            group.passTime(millis);
            FailoverAction action =
                    policy.next(
                            view(
                                    group.coverage(DATABASE),
                                    group.answers(),
                                    millis,
                                    FailoverPhase.FENCING));
            if (action instanceof FailoverAction.Choose choose) {
                assertTrue(
                        group.position(choose.candidate()) >= group.acknowledged(),
                        () -> choose + " after " + millis + " ms: " + group);
                return;
            }
            assertTrue(!(action instanceof FailoverAction.Reinstate), group::toString);
        }
    }

    /** A replica that can answer and has all that callers were told is enough in the end. */
    @Property(tries = 20_000, seed = "20261205")
    void aGroupInWhichNothingCanBeLostGetsAPrimary(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SynchronousGroup group = SynchronousGroup.play(random);
        group.losePrimary();
        group.passTime(8001);
        long furthest =
                group.answers().values().stream()
                        .mapToLong(MemberPosition::position)
                        .max()
                        .orElse(-1);
        boolean isNothingLost = group.acknowledged() > 0 && furthest >= group.acknowledged();
        if (isNothingLost) {
            assertInstanceOf(
                    FailoverAction.Choose.class,
                    policy.next(
                            view(
                                    group.coverage(DATABASE),
                                    group.answers(),
                                    8001,
                                    FailoverPhase.FENCING)),
                    group::toString);
        }
    }

    /** The case of the review: the one of four that has all writes has no capacity to answer. */
    @Example
    void aMemberOfFourThatDoesNotAnswerIsAwaited() {
        WriteCoverage coverage = new WriteCoverage(DATABASE.requiredPromotionResponses(4), 90, 3);
        EndpointId b = new EndpointId("b");
        EndpointId c = new EndpointId("c");
        Map<EndpointId, MemberPosition> behind =
                Map.of(
                        b,
                        new MemberPosition(b, false, 1, 50),
                        c,
                        new MemberPosition(c, false, 1, 50));
        for (long millis : List.of(10L, 400L, 4000L, 60_000L)) {
            assertInstanceOf(
                    FailoverAction.Blocked.class,
                    policy.next(view(coverage, behind, millis, FailoverPhase.FENCING)));
        }
        assertInstanceOf(
                FailoverAction.Choose.class,
                policy.next(view(coverage, behind, 400, FailoverPhase.FENCING_WITH_LOSS)));
    }

    @Example
    void theNumberOfResponsesFollowsTheNumberOfMembers() {
        assertEquals(1, DATABASE.requiredPromotionResponses(2));
        assertEquals(2, DATABASE.requiredPromotionResponses(3));
        assertEquals(4, DATABASE.requiredPromotionResponses(5));
        Database majority = new Database("orders", 1, true, 5, 0, 0, 0);
        assertEquals(3, majority.requiredPromotionResponses(5));
        assertEquals(4, majority.requiredPromotionResponses(6));
        Database alone = new Database("orders", 1, false, 3, 0, 1, 0);
        assertEquals(1, alone.requiredPromotionResponses(7));
    }

    /** A database whose primary acknowledges alone is not made to wait for anything. */
    @Example
    void withoutSynchronousReplicasThePromotionWaitsForNoMember() {
        EndpointId b = new EndpointId("b");
        Map<EndpointId, MemberPosition> one = Map.of(b, new MemberPosition(b, false, 0, 5));
        assertEquals(
                new FailoverAction.Choose(b),
                policy.next(view(WriteCoverage.of(1), one, 10, FailoverPhase.FENCING)));
    }
}
