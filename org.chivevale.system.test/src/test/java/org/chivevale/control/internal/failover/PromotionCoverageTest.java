package org.chivevale.control.internal.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a promotion that loses acknowledged writes since a member that may hold them was
 * not awaited, and against a group that waits for ever for one that cannot. On a virtual clock.
 */
class PromotionCoverageTest {
    private final FakeGroup group = new FakeGroup();

    /** Guards against acknowledged writes that are lost since a member is being replaced. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aBusyMemberOfFourThatMayHoldAcknowledgedWritesIsAwaited(boolean leaderChanges) {
        group.addMember(4).position = 5;
        group.member(3).position = 5;
        group.run(1000);
        group.reportAcknowledged(10);
        group.member(2).busy = true;
        group.member(1).alive = false;
        group.suspectPrimary();
        group.runUntil(() -> group.phase().equals("FENCING"));
        if (leaderChanges) {
            group.electLeader();
        }
        group.run(30_000);
        assertEquals("FENCING", group.phase());
        assertTrue(group.blockedReason().contains("of the 3 members"), group.blockedReason());
        group.member(2).busy = false;
        group.runUntilPrimary("e-2");
    }

    /** Guards against a group without a primary although nothing can be lost. */
    @Test
    void aMemberThatStaysAwayIsNotAwaitedForEverIfOthersHoldAllAcknowledgedWrites() {
        group.addMember(4);
        group.run(1000);
        group.reportAcknowledged(10);
        group.member(2).busy = true;
        group.member(1).alive = false;
        group.suspectPrimary();
        group.runUntilReplaced("e-1");
        assertEquals(0, group.member(2).promotions);
    }

    /** An endpoint receives writes from the primary before it has announced itself. */
    @Test
    void aMemberThatAnnouncesItselfDuringTheFailoverIsChosenForItsWrites() {
        group.member(2).position = 5;
        group.member(3).position = 5;
        group.reportAcknowledged(10);
        group.member(1).alive = false;
        group.suspectPrimary();
        group.runUntil(() -> group.phase().equals("FENCING"));
        group.run(1500);
        group.addMember(4);
        group.runUntilPrimary("e-4");
    }

    /** Guards against a group that waits for a replica which has been gone for long. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aReplicaThatWasGoneForLongIsNotAwaited(boolean leaderChanges) {
        group.addMember(4);
        group.registerAll();
        group.member(4).alive = false;
        for (int second = 0; second < 15; second++) {
            group.reportAcknowledged(10 + second);
            group.run(1000);
        }
        assertTrue(group.isMarkedLost(4));
        group.member(2).position = 30;
        group.member(3).position = 30;
        group.member(1).alive = false;
        group.suspectPrimary();
        group.runUntil(() -> group.phase().equals("FENCING"));
        if (leaderChanges) {
            group.electLeader();
        }
        group.runUntil(() -> !group.primary().isEmpty());
        assertEquals(2, group.term());
    }

    /** It may be back with its log, which may hold what the others lack. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aReplicaThatHasJustGoneIsAwaited(boolean leaderChanges) {
        group.addMember(4);
        group.registerAll();
        group.run(1000);
        group.member(2).position = 5;
        group.member(3).position = 5;
        group.member(4).alive = false;
        group.run(3000);
        group.member(1).alive = false;
        group.suspectPrimary();
        group.runUntil(() -> group.phase().equals("FENCING"));
        if (leaderChanges) {
            group.electLeader();
        }
        group.run(20_000);
        assertEquals("FENCING", group.phase());
        assertFalse(group.isMarkedLost(4));
        group.member(4).alive = true;
        group.runUntilPrimary("e-4");
    }

    /** Time alone makes no replica dispensable: it may still hold what no other one has. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void noReplicaIsMarkedAsLostUnlessWritesAreAcknowledgedWithoutIt(boolean primaryIsSilent) {
        group.registerAll();
        group.reportAcknowledged(10);
        group.member(1).alive = !primaryIsSilent;
        group.member(2).alive = false;
        group.run(5000);
        if (primaryIsSilent) {
            group.reportAcknowledged(11);
        }
        group.run(30_000);
        assertFalse(group.isMarkedLost(2));
    }
}
