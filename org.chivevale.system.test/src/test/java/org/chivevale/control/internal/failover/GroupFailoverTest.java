package org.chivevale.control.internal.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

    private void runUntilPrimary(String endpoint) {
        group.runUntil(() -> group.primary().equals(endpoint));
    }

    @Test
    void withoutAnEvacuationNothingIsFenced() {
        group.run(10_000);
        assertEquals("e-1", group.primary());
        assertEquals(0, group.fences);
    }

    @Test
    void anEvacuatedPrimaryIsSwitchedOverOnce() {
        group.evacuate(1);
        runUntilPrimary("e-2");
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
        runUntilPrimary("e-3");
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
        runUntilPrimary("e-3");
        assertEquals("", group.blockedReason());
    }

    @Test
    void anEvacuatedPrimaryMovesOnlyIntoAnAllowedRegion() {
        group.allowRegions(List.of("r-1", "r-3"));
        group.evacuate(1);
        runUntilPrimary("e-3");
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
        runUntilPrimary("e-3");
    }

    @Test
    void anUnplannedFailoverKeepsAllWritesAndThenLeavesTheEvacuatedDataCenter() {
        group.member(3).position = 8;
        group.member(1).alive = false;
        group.suspectPrimary();
        group.runUntil(() -> group.phase().equals("FENCING"));
        group.evacuate(1);
        group.evacuate(2);
        runUntilPrimary("e-2");
        assertEquals(0, group.plannedFences);
        group.run(2000);
        group.member(3).position = 10;
        runUntilPrimary("e-3");
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
        runUntilPrimary("e-1");
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
        runUntilPrimary("e-2");
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
        runUntilPrimary("e-3");
    }

    @Test
    void aCandidateThatIsNoLongerInTheRegionsIsNotPromoted() {
        group.member(2).refusesPromotion = true;
        group.evacuate(1);
        group.runUntil(() -> group.phase().equals("PROMOTING"));
        group.allowRegions(List.of("r-3"));
        group.member(2).refusesPromotion = false;
        runUntilPrimary("e-3");
        assertEquals(0, group.member(2).promotions);
    }

    /** Proxies need not probe an evacuated primary, so nobody may suspect one that has failed. */
    @Test
    void anEvacuatedPrimaryThatHasFailedIsReplacedByTheMostUpToDateReplica() {
        group.member(1).alive = false;
        group.member(2).position = 9;
        group.evacuate(1);
        runUntilPrimary("e-3");
        assertEquals(1, group.fences);
    }

    /** Guards against a group without traffic whose lost primary nobody notices. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aPrimaryThatIsSilentAndDoesNotAnswerIsReplaced(boolean leaderChanges) {
        group.member(1).alive = false;
        if (leaderChanges) {
            group.run(1000);
            group.electLeader();
            group.load(1);
        }
        group.runUntil(() -> !group.primary().isEmpty() && !group.primary().equals("e-1"));
        assertEquals(1, group.fences);
        assertEquals(0, group.plannedFences);
    }

    @Test
    void aSilentPrimaryThatServesProxiesIsNotReplaced() {
        group.member(1).cutFromControl = true;
        for (int second = 0; second < 20; second++) {
            group.reportHealthyPrimary();
            group.run(1000);
        }
        assertEquals(0, group.fences);
    }

    /** The old primary keeps running, and nobody may lead twice or be replaced twice. */
    @Test
    void aPrimaryThatWasOnlySilentIsReplacedOnce() {
        group.member(1).cutFromControl = true;
        group.runUntil(() -> !group.primary().isEmpty() && !group.primary().equals("e-1"));
        group.member(1).cutFromControl = false;
        group.run(20_000);
        assertEquals(1, group.fences);
        assertEquals(2, group.term());
    }

    @Test
    void aPrimaryThatIsOnlyBusyIsNotReplaced() {
        group.member(1).announces = false;
        group.member(1).busy = true;
        group.run(20_000);
        assertEquals(0, group.fences);
    }

    /** An order of which control does not know may have made another member the primary. */
    @Test
    void aPrimaryThatRunsAsAReplicaIsReplacedByTheOneThatLeads() {
        group.member(1).primary = false;
        group.member(3).primary = true;
        group.member(3).timeline = 2;
        runUntilPrimary("e-3");
        assertEquals(2, group.term());
        assertEquals(1, group.fences);
    }

    @Test
    void aPrimaryWhoseRegistrationHasEndedIsReplaced() {
        group.member(1).alive = false;
        group.endRegistration(1);
        group.runUntil(() -> group.fences == 1);
        group.runUntil(() -> !group.primary().isEmpty() && !group.primary().equals("e-1"));
        assertEquals(0, group.plannedFences);
    }

    /** Guards against writes that are lost since the primary still serves. */
    @Test
    void aPrimaryWhoseRegistrationEndsWhileItServesHandsOverAllItsWrites() {
        group.member(2).position = 8;
        group.endRegistration(1);
        runUntilPrimary("e-3");
        assertEquals(0, group.member(2).promotions);
    }

    @Test
    void aLostPrimaryThatNobodyCanReplaceIsNotFenced() {
        group.member(2).alive = false;
        group.member(3).alive = false;
        group.run(5000);
        group.endRegistration(1);
        group.run(5000);
        assertEquals(0, group.fences);
        assertTrue(group.blockedReason().contains("registration"), group.blockedReason());
    }

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
        runUntilPrimary("e-2");
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
        group.runUntil(() -> !group.primary().isEmpty() && !group.primary().equals("e-1"));
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
        runUntilPrimary("e-4");
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
        runUntilPrimary("e-4");
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

    private void suspectPrimaryFor(int seconds) {
        for (int second = 0; second < seconds; second++) {
            group.suspectPrimary();
            group.run(1000);
        }
    }

    /** Its commits wait for replicas that receive nothing, so proxies get no replies. */
    @Test
    void aSuspectedPrimaryThatAnswersControlIsKeptForSomeTime() {
        group.member(1).busy = true;
        suspectPrimaryFor(2);
        group.run(5000);
        assertEquals(0, group.fences);
        suspectPrimaryFor(4);
        assertEquals(0, group.fences);
        suspectPrimaryFor(3);
        assertEquals(1, group.fences);
    }

    @Test
    void aSuspectedPrimaryThatDoesNotAnswerControlIsReplacedAtOnce() {
        group.member(1).alive = false;
        group.suspectPrimary();
        group.run(50);
        assertEquals(1, group.fences);
    }

    /** Guards against a failover that is logged and executed as planned, or the reverse. */
    @Test
    void aSuspicionIsUnplannedAndAShutdownIsPlanned() {
        group.member(1).leaving = true;
        runUntilPrimary("e-2");
        assertEquals(1, group.plannedFences);
        group.member(2).alive = false;
        group.member(3).timeline = 2;
        group.member(1).alive = false;
        group.suspectPrimary();
        group.runUntil(() -> group.fences == 2);
        assertEquals(1, group.plannedFences);
    }
}
