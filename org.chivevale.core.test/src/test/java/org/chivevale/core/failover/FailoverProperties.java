package org.chivevale.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.chivevale.core.group.EndpointId;

class FailoverProperties {
    private static final EndpointId A = new EndpointId("a");
    private static final EndpointId B = new EndpointId("b");
    private static final EndpointId C = new EndpointId("c");
    private static final List<EndpointId> ALL = List.of(A, B, C);
    private static final int NEEDED = 2;
    private static final int MEMBERS = 3;

    private final FailoverPolicy policy = new FailoverPolicy(3000, 1500);

    private static FailoverView view(
            FailoverPhase phase, boolean fenceInForce, Map<EndpointId, MemberPosition> positions) {
        return view(phase, fenceInForce, positions, false, 10);
    }

    private static FailoverView view(
            FailoverPhase phase,
            boolean fenceInForce,
            Map<EndpointId, MemberPosition> positions,
            boolean planned,
            long collectingForMillis) {
        return new FailoverView(
                phase,
                1,
                null,
                A,
                B,
                planned,
                null,
                false,
                null,
                false,
                fenceInForce,
                WriteCoverage.of(NEEDED),
                MEMBERS,
                positions,
                collectingForMillis,
                null,
                10,
                PrimaryEligibility.UNRESTRICTED,
                false);
    }

    private static MemberPosition at(EndpointId id, boolean primary, long position) {
        return new MemberPosition(id, primary, 1, position);
    }

    @Example
    void noMemberIsChosenBeforeTheFenceIsInForce() {
        Map<EndpointId, MemberPosition> both = Map.of(B, at(B, false, 5), C, at(C, false, 9));
        assertInstanceOf(
                FailoverAction.NoAction.class,
                policy.next(view(FailoverPhase.FENCING, false, both)));
        assertEquals(
                new FailoverAction.Choose(C), policy.next(view(FailoverPhase.FENCING, true, both)));
    }

    @Example
    void withoutAQuorumNoMemberIsChosenUnlessAnOperatorAcceptsTheLoss() {
        Map<EndpointId, MemberPosition> one = Map.of(B, at(B, false, 5));
        assertInstanceOf(
                FailoverAction.Blocked.class, policy.next(view(FailoverPhase.FENCING, true, one)));
        assertEquals(
                new FailoverAction.Choose(B),
                policy.next(view(FailoverPhase.FENCING_WITH_LOSS, true, one)));
    }

    @Example
    void anIntactPrimaryThatComesBackStaysPrimary() {
        Map<EndpointId, MemberPosition> back = Map.of(A, at(A, true, 9), B, at(B, false, 5));
        assertEquals(
                new FailoverAction.Reinstate(A),
                policy.next(view(FailoverPhase.FENCING, true, back)));
    }

    @Example
    void aSwitchoverWaitsForAReplicaToCatchUpAndElseReinstatesThePrimary() {
        Map<EndpointId, MemberPosition> behind = Map.of(A, at(A, true, 9), B, at(B, false, 5));
        assertInstanceOf(
                FailoverAction.Blocked.class,
                policy.next(view(FailoverPhase.FENCING, true, behind, true, 10)));
        assertEquals(
                new FailoverAction.Reinstate(A),
                policy.next(view(FailoverPhase.FENCING, true, behind, true, 2000)));
        Map<EndpointId, MemberPosition> caughtUp = Map.of(A, at(A, true, 9), B, at(B, false, 9));
        assertEquals(
                new FailoverAction.Choose(B),
                policy.next(view(FailoverPhase.FENCING, true, caughtUp, true, 10)));
    }

    /** Guards against a switchover that loses commits which only the primary's timeline has. */
    @Example
    void aSwitchoverChoosesNoReplicaOfAnotherTimeline() {
        Map<EndpointId, MemberPosition> diverged =
                Map.of(A, at(A, true, 9), B, new MemberPosition(B, false, 0, 12));
        assertInstanceOf(
                FailoverAction.Blocked.class,
                policy.next(view(FailoverPhase.FENCING, true, diverged, true, 10)));
        Map<EndpointId, MemberPosition> oneFollows =
                Map.of(
                        A,
                        at(A, true, 9),
                        B,
                        new MemberPosition(B, false, 0, 12),
                        C,
                        at(C, false, 9));
        assertEquals(
                new FailoverAction.Choose(C),
                policy.next(view(FailoverPhase.FENCING, true, oneFollows, true, 10)));
    }

    /** Guards against two members that are promoted to the same timeline, one after the other. */
    @Example
    void aSwitchoverChoosesAMemberThatAnEarlierAttemptHasPromoted() {
        Map<EndpointId, MemberPosition> promoted =
                Map.of(A, at(A, true, 9), B, at(B, false, 9), C, new MemberPosition(C, true, 2, 9));
        assertEquals(
                new FailoverAction.Choose(C),
                policy.next(view(FailoverPhase.FENCING, true, promoted, true, 10)));
    }

    @Property(tries = 1000, seed = "20261204")
    void theChosenMemberHoldsEveryWriteThatAQuorumHeld(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<EndpointId, Long> held = new HashMap<>();
        ALL.forEach(id -> held.put(id, 1L));
        long acknowledged = 1;
        for (int write = 2; write < 2 + random.nextInt(20); write++) {
            held.put(A, (long) write);
            EndpointId replica = random.nextBoolean() ? B : C;
            if (random.nextInt(3) > 0) {
                held.put(replica, (long) write);
                acknowledged = write;
            }
        }
        Map<EndpointId, MemberPosition> responses = new HashMap<>();
        for (EndpointId id : ALL) {
            if (random.nextBoolean()) {
                responses.put(id, at(id, id.equals(A), held.get(id)));
            }
        }
        FailoverAction action = policy.next(view(FailoverPhase.FENCING, true, responses));
        if (action instanceof FailoverAction.Choose choose) {
            assertTrue(responses.size() >= NEEDED);
            assertTrue(held.get(choose.candidate()) >= acknowledged, responses.toString());
        } else if (action instanceof FailoverAction.Reinstate reinstate) {
            assertTrue(held.get(reinstate.primary()) >= acknowledged);
        } else {
            assertTrue(responses.size() < NEEDED, responses.toString());
        }
    }

    @Property(seed = "20261204")
    void aPrimaryThatOnlySomeProxiesCannotReachIsNotSuspected(
            @ForAll @IntRange(min = 1, max = 9) int proxies,
            @ForAll @IntRange(max = 9) int suspecting) {
        FailureDetector detector = new FailureDetector(1000);
        int suspects = Math.min(suspecting, proxies);
        for (int i = 0; i < proxies; i++) {
            detector.report("proxy-" + i, "dc-" + i % 3, A, 1, i < suspects, 0);
        }
        boolean suspected = detector.isSuspected(A, 1, 500);
        if (suspects * 2 <= proxies) {
            assertFalse(suspected);
        }
        if (suspects == proxies) {
            assertTrue(suspected);
        }
        assertFalse(detector.isSuspected(A, 2, 500), "reports of another term do not count");
        assertFalse(detector.isSuspected(A, 1, 5000), "old reports do not count");
    }

    @Example
    void oneDataCentreAloneCannotCauseAFailover() {
        FailureDetector detector = new FailureDetector(1000);
        detector.report("p1", "dc-1", A, 1, true, 0);
        detector.report("p2", "dc-1", A, 1, true, 0);
        detector.report("p3", "dc-2", A, 1, false, 0);
        assertFalse(detector.isSuspected(A, 1, 1));
        detector.report("p3", "dc-2", A, 1, true, 0);
        assertTrue(detector.isSuspected(A, 1, 1));
    }
}
