package org.chivevale.control.internal.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Executes failovers and switchovers of one group on a virtual clock. Guards against a group that
 * stays in an evacuated data centre although it could leave, that loses writes or is fenced
 * repeatedly because of an evacuation, and against a primary outside the group's regions.
 */
class GroupFailoverTest {
    private final FakeGroup group = new FakeGroup();

    @Test
    void withoutAnEvacuationNothingIsFenced() {
        group.run(10_000);
        assertEquals("e-1", group.primary());
        assertEquals(0, group.fences);
    }

    @Test
    void anEvacuatedPrimaryIsSwitchedOverOnce() {
        group.evacuate(1);
        group.runUntilPrimary("e-2");
        group.run(20_000);
        assertEquals("e-2", group.primary());
        assertEquals(2, group.term());
        assertEquals(1, group.fences);
        assertEquals(1, group.plannedFences);
    }

    @Test
    void ofTwoEvacuatedDataCentersThePrimaryMovesToTheThird() {
        group.evacuate(2);
        group.evacuate(1);
        group.runUntilPrimary("e-3");
        assertEquals(0, group.member(2).promotions);
    }

    @Test
    void thePrimaryStaysUntilALiveReplicaIsElsewhere() {
        group.evacuate(2);
        group.member(3).alive = false;
        group.run(10_000);
        group.evacuate(1);
        group.run(10_000);
        assertEquals("e-1", group.primary());
        assertEquals(0, group.fences);
        assertTrue(group.blockedReason().contains("evacuated"), group.blockedReason());
        group.member(3).alive = true;
        group.runUntilPrimary("e-3");
        assertEquals("", group.blockedReason());
    }

    @Test
    void anEvacuatedPrimaryMovesOnlyIntoAnAllowedRegion() {
        group.allowRegions(List.of("r-1", "r-3"));
        group.evacuate(1);
        group.runUntilPrimary("e-3");
        assertEquals(0, group.member(2).promotions);
    }

    /** The pauses of 1, 2, 4 and 8 s leave at most five attempts of 1.5 s in 22 s. */
    @Test
    void aGroupWhoseReplicasStayBehindIsNotFencedRepeatedly() {
        group.member(2).position = 5;
        group.member(3).position = 5;
        group.evacuate(1);
        group.run(22_000);
        assertTrue(group.fences >= 3 && group.fences <= 5, group.fences + " fences");
        group.member(3).position = 10;
        group.runUntilPrimary("e-3");
    }

    @Test
    void anUnplannedFailoverKeepsAllWritesAndThenLeavesTheEvacuatedDataCenter() {
        group.member(3).position = 8;
        group.member(1).alive = false;
        group.suspectPrimary();
        group.runUntil(() -> group.phase().equals("FENCING"));
        group.evacuate(1);
        group.evacuate(2);
        group.runUntilPrimary("e-2");
        assertEquals(0, group.plannedFences);
        group.run(2000);
        group.member(3).position = 10;
        group.runUntilPrimary("e-3");
        assertEquals(3, group.term());
        assertTrue(group.plannedFences >= 1);
    }

    @Test
    void aWithdrawalDuringTheSwitchoverLeavesAGroupWithAPrimary() {
        group.member(2).position = 5;
        group.member(3).position = 5;
        group.evacuate(1);
        group.runUntil(() -> group.phase().equals("FENCING"));
        group.withdraw(1);
        group.runUntilPrimary("e-1");
        group.run(20_000);
        assertEquals("e-1", group.primary());
        assertEquals(1, group.fences);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "FENCING", "PROMOTING"})
    void aChangeOfLeaderInAnyPhaseEndsWithOneNewPrimary(String phase) {
        group.members.values().forEach(member -> member.refusesPromotion = true);
        group.evacuate(1);
        group.runUntil(() -> group.phase().equals(phase));
        group.electLeader();
        group.members.values().forEach(member -> member.refusesPromotion = false);
        group.runUntilPrimary("e-2");
        group.run(5000);
        assertEquals(2, group.term());
        assertEquals(1, group.fences);
        assertEquals(1, group.member(2).promotions);
        assertEquals(0, group.member(3).promotions);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aMemberOutsideTheRegionsIsNeverPromoted(boolean leaderChanges) {
        group.allowRegions(List.of("r-1"));
        group.member(1).alive = false;
        group.suspectPrimary();
        group.runUntil(() -> group.phase().equals("FENCING"));
        if (leaderChanges) {
            group.electLeader();
        }
        group.run(20_000);
        assertEquals(0, group.member(2).promotions + group.member(3).promotions);
        assertTrue(group.blockedReason().contains("regions [r-1]"), group.blockedReason());
        group.allowRegions(List.of("r-1", "r-3"));
        group.runUntilPrimary("e-3");
    }

    @Test
    void aCandidateThatIsNoLongerInTheRegionsIsNotPromoted() {
        group.member(2).refusesPromotion = true;
        group.evacuate(1);
        group.runUntil(() -> group.phase().equals("PROMOTING"));
        group.allowRegions(List.of("r-3"));
        group.member(2).refusesPromotion = false;
        group.runUntilPrimary("e-3");
        assertEquals(0, group.member(2).promotions);
    }

    /** Proxies need not probe an evacuated primary, so nobody may suspect one that has failed. */
    @Test
    void anEvacuatedPrimaryThatHasFailedIsReplacedByTheMostUpToDateReplica() {
        group.member(1).alive = false;
        group.member(2).position = 9;
        group.evacuate(1);
        group.runUntilPrimary("e-3");
        assertEquals(1, group.fences);
    }

    /** Guards against a failover that is logged and executed as planned, or the reverse. */
    @Test
    void aSuspicionIsUnplannedAndAShutdownIsPlanned() {
        group.member(1).leaving = true;
        group.runUntilPrimary("e-2");
        assertEquals(1, group.plannedFences);
        group.member(2).alive = false;
        group.member(3).timeline = 2;
        group.member(1).alive = false;
        group.suspectPrimary();
        group.runUntil(() -> group.fences == 2);
        assertEquals(1, group.plannedFences);
    }
}
