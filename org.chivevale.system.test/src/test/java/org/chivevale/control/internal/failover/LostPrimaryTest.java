package org.chivevale.control.internal.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a lost primary that nobody notices since no proxy uses it, and against one that is
 * replaced although it is only silent, slow or busy. On a virtual clock.
 */
class LostPrimaryTest {
    private final FakeGroup group = new FakeGroup();

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
        group.runUntilReplaced("e-1");
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
        group.runUntilReplaced("e-1");
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
        group.runUntilPrimary("e-3");
        assertEquals(2, group.term());
        assertEquals(1, group.fences);
    }

    @Test
    void aPrimaryWhoseRegistrationHasEndedIsReplaced() {
        group.member(1).alive = false;
        group.endRegistration(1);
        group.runUntil(() -> group.fences == 1);
        group.runUntilReplaced("e-1");
        assertEquals(0, group.plannedFences);
    }

    /** Guards against writes that are lost since the primary still serves. */
    @Test
    void aPrimaryWhoseRegistrationEndsWhileItServesHandsOverAllItsWrites() {
        group.member(2).position = 8;
        group.endRegistration(1);
        group.runUntilPrimary("e-3");
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

    /** Guards against a primary that is replaced for a call from before it served again. */
    @Test
    void aCallThatFailsAfterTheDoubtHasEndedDoesNotCount() {
        group.member(1).busy = true;
        group.member(1).delaysCalls = true;
        group.suspectPrimary();
        group.run(100);
        group.reportHealthyPrimary();
        group.run(100);
        group.member(1).delaysCalls = false;
        group.member(1).failDelayedCalls();
        group.suspectPrimary();
        group.run(1000);
        assertEquals(0, group.fences);
    }

    @Test
    void aSuspectedPrimaryThatDoesNotAnswerControlIsReplacedAtOnce() {
        group.member(1).alive = false;
        group.suspectPrimary();
        group.run(50);
        assertEquals(1, group.fences);
    }
}
