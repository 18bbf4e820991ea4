package org.chivevale.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.chivevale.consensus.RaftSimulation.Member;

/** Checks the safety and liveness of the replicated log under random schedules of faults. */
class RaftProperties {
    private static final int DISKS_THAT_MAY_BE_LOST = 2;

    /** Several times the heartbeats of a leader to four members, with their answers. */
    private static final int MAX_MESSAGES_IN_A_QUIET_SECOND = 500;

    /** The lease margin bears a relative drift of 0.2 between two clocks. */
    private static final double CLOCK_DRIFT = 0.05;

    private static RaftSimulation formedCluster(long seed) {
        RaftSimulation simulation = new RaftSimulation(seed);
        simulation.add(5);
        simulation.members.forEach(member -> member.start(true));
        simulation.run(4_000);
        return simulation;
    }

    @Example
    void threeSeedsBootstrapAndTheOthersBecomeVoters() {
        RaftSimulation simulation = formedCluster(1);
        Member leader = simulation.leader();
        assertNotNull(leader);
        assertEquals(5, leader.node.memberAddresses().size());
    }

    /**
     * Crashes all members for longer than a leader lease. The downtime must count towards the old
     * leader's lease, or the restarted members would wait for it before they vote.
     */
    @Example
    void aLeaderIsElectedAtOnceAfterAllWereDownForLongerThanALease() {
        int electedSoon = 0;
        for (int seed = 0; seed < 100; seed++) {
            RaftSimulation simulation = formedCluster(seed);
            simulation.members.forEach(Member::kill);
            simulation.run(700);
            simulation.members.forEach(member -> member.start(false));
            simulation.run(500);
            electedSoon += simulation.leader() == null ? 0 : 1;
        }
        assertTrue(electedSoon >= 90, electedSoon + " of 100");
    }

    /**
     * Fills the leader's disk. Its proposals must get a result, and another member must lead, or no
     * change is accepted while that process lives.
     */
    @Property(tries = 50, seed = "20261204")
    void aLeaderWithAFullDiskGivesUpTheLead(@ForAll long seed) {
        RaftSimulation simulation = formedCluster(seed);
        Member full = simulation.leader();
        full.storage.isFull = true;
        int before = simulation.acknowledged.size();
        for (int i = 0; i < 20; i++) {
            simulation.propose();
            simulation.run(100);
        }
        assertEquals(0, simulation.unanswered);
        assertTrue(simulation.acknowledged.size() >= before + 10, "no other member leads");
        assertTrue(simulation.leader() != full);
        full.storage.isFull = false;
        simulation.repairAndVerify();
    }

    /**
     * Lets each member's disk refuse one write, at any place of an election or of a change. No
     * member may stay leader without a lease, which would keep the others from an election, and no
     * change may stay without an answer.
     */
    @Property(tries = 300, seed = "20261205")
    void aMemberWhoseDiskRefusesAnySingleWriteTakesPartAgain(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int write) {
        RaftSimulation simulation = formedCluster(seed);
        for (int i = 0; i < simulation.random.nextInt(20); i++) {
            simulation.propose();
            simulation.run(20);
        }
        simulation.run(200);
        simulation.members.forEach(member -> member.storage.failsAtWrite = write);
        if (simulation.random.nextBoolean()) {
            simulation.leader().node.transferLeadership();
        } else {
            Member leader = simulation.leader();
            leader.kill();
            simulation.run(800);
            leader.start(false);
        }
        for (int i = 0; i < 100; i++) {
            simulation.propose();
            simulation.run(50);
        }
        simulation.repairAndVerify();
        assertEquals(0, simulation.unanswered);
    }

    /**
     * Kills all members at once, sooner than the leader's lease ends, and starts them within 300 ms
     * of each other. The old leader knows that its lease is gone, so nobody has to wait for it, and
     * members that started first must not have backed off for long.
     */
    @Example
    void aLeaderIsElectedSoonAfterAMajorityIsUpAgain() {
        int electedSoon = 0;
        for (int seed = 0; seed < 100; seed++) {
            RaftSimulation simulation = formedCluster(seed);
            for (int i = 0; i < 5; i++) {
                simulation.propose();
                simulation.run(50);
            }
            simulation.members.forEach(Member::kill);
            simulation.run(100);
            List<Member> order = new ArrayList<>(simulation.members);
            Collections.shuffle(order, simulation.random);
            for (Member member : order) {
                member.start(false);
                simulation.run(75);
            }
            simulation.run(150);
            electedSoon += simulation.leader() == null ? 0 : 1;
            simulation.repairAndVerify();
        }
        assertTrue(electedSoon >= 90, electedSoon + " of 100");
    }

    /** What a new leader grants may start from the end of its own earlier process. */
    @Example
    void aLeaderThatLeadsAgainAfterARestartKnowsWhenItsEarlierProcessEnded() {
        int ledAgain = 0;
        for (int seed = 0; seed < 100; seed++) {
            RaftSimulation simulation = formedCluster(seed);
            Member before = simulation.leader();
            simulation.members.forEach(Member::kill);
            long stoppedNanos = simulation.nowNanos;
            simulation.run(100);
            simulation.members.forEach(member -> member.start(false));
            simulation.run(1_000);
            Member after = simulation.leader();
            if (after != null) {
                long endNanos = after.node.earlierLeaderEndNanos(simulation.nowNanos);
                boolean isKnown = endNanos == stoppedNanos;
                assertTrue(isKnown ? after == before : endNanos == simulation.nowNanos);
                ledAgain += isKnown ? 1 : 0;
            }
        }
        assertTrue(ledAgain >= 50, ledAgain + " of 100");
    }

    /** An entry that failed kept later ones, already committed, from reads. */
    @Example
    void anEntryThatCannotBeAppliedEndsAndHoldsUpNoLaterOne() {
        RaftSimulation simulation = formedCluster(1);
        simulation.propose(simulation.leader(), RaftSimulation.UNREADABLE);
        simulation.propose();
        simulation.run(100);
        assertEquals(0, simulation.unanswered);
        assertEquals(1, simulation.acknowledged.size());
        simulation.repairAndVerify();
    }

    @Property(tries = 400, seed = "20261204")
    void noAcknowledgedEntryIsLostUnderCrashesPartitionsAndPauses(@ForAll long seed) {
        RaftSimulation simulation = formedCluster(seed);
        simulation.lossShare = simulation.random.nextDouble() * 0.1;
        simulation.duplicateShare = 0.05;
        for (int step = 0; step < 25; step++) {
            injectFault(simulation);
            for (int i = 0; i < 3; i++) {
                simulation.propose();
                simulation.run(40 + simulation.random.nextInt(300));
            }
        }
        simulation.repairAndVerify();
    }

    private static void injectFault(RaftSimulation simulation) {
        Member victim = simulation.members.get(simulation.random.nextInt(5));
        switch (simulation.random.nextInt(8)) {
            case 0 -> victim.kill();
            case 1 -> restartOne(simulation);
            case 2 ->
                    victim.pausedUntilNanos =
                            simulation.nowNanos
                                    + simulation.random.nextInt(3_000) * RaftSimulation.MILLI;
            case 3 -> simulation.isolate(victim);
            case 4 -> simulation.healLinks();
            case 5 ->
                    simulation.cutLink(
                            victim, simulation.members.get(simulation.random.nextInt(5)));
            case 6 -> {
                if (victim.isRunning()) {
                    victim.node.transferLeadership();
                }
            }
            default ->
                    simulation.members.forEach(
                            member -> {
                                if (member.node != null) {
                                    member.kill();
                                    member.start(false);
                                }
                            });
        }
    }

    private static void restartOne(RaftSimulation simulation) {
        simulation.members.stream()
                .filter(member -> member.node == null)
                .findFirst()
                .ifPresent(member -> member.start(false));
    }

    @Property(tries = 300, seed = "20261204")
    void noAcknowledgedEntryIsLostWhenTwoDisksAreLostAndAllMembersCrash(@ForAll long seed) {
        RaftSimulation simulation = formedCluster(seed);
        for (int round = 0; round < 3; round++) {
            int acknowledged = simulation.acknowledged.size();
            for (int i = 0; i < 4; i++) {
                simulation.propose();
                simulation.run(simulation.random.nextInt(60));
            }
            List<Member> order = new ArrayList<>(simulation.members);
            Collections.shuffle(order, simulation.random);
            order.forEach(Member::kill);
            order.subList(0, DISKS_THAT_MAY_BE_LOST).forEach(Member::wipe);
            simulation.run(simulation.random.nextInt(1_500));
            order.forEach(member -> member.start(false));
            simulation.repairAndVerify();
            assertTrue(simulation.acknowledged.size() > acknowledged);
        }
    }

    /** A read or a grant of any member, at any moment, has what was acknowledged before it. */
    @Property(tries = 300, seed = "20261206")
    void noLeaderReadsAnOlderStateBesideDriftPausesWipesAndLateMessages(@ForAll long seed) {
        RaftSimulation simulation = new RaftSimulation(seed);
        simulation.add(5);
        for (Member member : simulation.members) {
            member.clockRate = 1 + (2 * simulation.random.nextDouble() - 1) * CLOCK_DRIFT;
            member.start(true);
        }
        simulation.run(4_000);
        for (int round = 0; round < 3; round++) {
            simulation.lossShare = simulation.random.nextDouble() * 0.1;
            simulation.duplicateShare = 0.1;
            simulation.lateShare = 0.1;
            disturbAndPropose(simulation);
            simulation.repairAndVerify();
        }
    }

    private static void disturbAndPropose(RaftSimulation simulation) {
        int disksLost = 0;
        for (int step = 0; step < 15; step++) {
            Member victim = simulation.members.get(simulation.random.nextInt(5));
            switch (simulation.random.nextInt(5)) {
                case 0 -> restartRepeatedly(simulation, victim);
                case 1 -> {
                    if (disksLost < DISKS_THAT_MAY_BE_LOST) {
                        disksLost++;
                        victim.wipe();
                        victim.start(false);
                    }
                }
                case 2 -> {
                    cutLeaderFromTwoOthers(simulation);
                    simulation.run(600 + simulation.random.nextInt(300));
                    restartRepeatedly(simulation, victim);
                }
                default -> injectFault(simulation);
            }
            for (int i = 0; i < 3; i++) {
                simulation.propose();
                simulation.run(simulation.random.nextInt(250));
            }
        }
    }

    private static void cutLeaderFromTwoOthers(RaftSimulation simulation) {
        Member leader = simulation.leader();
        if (leader == null) {
            return;
        }
        List<Member> others = new ArrayList<>(simulation.members);
        others.remove(leader);
        Collections.shuffle(others, simulation.random);
        for (Member other : others.subList(0, 2)) {
            simulation.cutLink(leader, other);
            simulation.cutLink(other, leader);
        }
    }

    private static void restartRepeatedly(RaftSimulation simulation, Member victim) {
        for (int i = 0; i < 3; i++) {
            victim.kill();
            victim.start(false);
            simulation.run(simulation.random.nextInt(60));
        }
    }

    /** A process that starts again with the settings of its first start must not vote anew. */
    @Property(tries = 300, seed = "20261206")
    void noAcknowledgedEntryIsLostWhenWipedMembersBootstrapAgain(@ForAll long seed) {
        RaftSimulation simulation = formedCluster(seed);
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 4; i++) {
                simulation.propose();
                simulation.run(simulation.random.nextInt(60));
            }
            List<Member> order = new ArrayList<>(simulation.members);
            Collections.shuffle(order, simulation.random);
            if (simulation.random.nextBoolean()) {
                order.forEach(Member::kill);
            }
            for (Member lost : order.subList(0, DISKS_THAT_MAY_BE_LOST)) {
                lost.wipe();
                lost.start(true);
                simulation.run(simulation.random.nextInt(1_000));
            }
            simulation.run(simulation.random.nextInt(1_500));
            simulation.repairAndVerify();
            int before = simulation.sentMessages;
            simulation.run(1_000);
            int sent = simulation.sentMessages - before;
            assertTrue(sent < MAX_MESSAGES_IN_A_QUIET_SECOND, sent + " messages");
        }
    }

    /** Loses two disks, then also all processes, at the moment of each of the first entries. */
    @Property(tries = 200, seed = "20261206")
    void theFirstAcknowledgedEntriesSurviveTheLossOfTwoDisks(@ForAll long seed) {
        RaftSimulation simulation = new RaftSimulation(seed);
        simulation.add(5);
        simulation.members.forEach(member -> member.start(true));
        int entries = 1 + simulation.random.nextInt(3);
        for (int i = 0; i < 500 && simulation.acknowledged.size() < entries; i++) {
            simulation.propose();
            simulation.run(10);
        }
        List<Member> order = new ArrayList<>(simulation.members);
        Collections.shuffle(order, simulation.random);
        if (simulation.random.nextBoolean()) {
            order.forEach(Member::kill);
        }
        order.subList(0, DISKS_THAT_MAY_BE_LOST).forEach(Member::wipe);
        simulation.run(simulation.random.nextInt(500));
        simulation.repairAndVerify();
    }

    @Property(tries = 100, seed = "20261204")
    void aNewMemberReplacesAVoterThatIsLostForGood(@ForAll long seed) {
        RaftSimulation simulation = formedCluster(seed);
        Member lost = simulation.members.get(simulation.random.nextInt(5));
        lost.kill();
        simulation.add(1);
        Member newMember = simulation.members.get(5);
        simulation.run(200);
        newMember.start(false);
        simulation.run(4_000);
        Member leader = simulation.leader();
        assertNotNull(leader);
        assertTrue(leader.node.memberAddresses().contains(newMember.address.toString()));
        assertEquals(5, leader.node.memberAddresses().size());
    }

    @Property(tries = 3000, seed = "20261204")
    void anotherLeaderIsFoundWithinTwoSecondsOfALoss(@ForAll long seed) {
        RaftSimulation simulation = formedCluster(seed);
        simulation.leader().kill();
        simulation.run(2_000);
        assertNotNull(simulation.leader());
    }
}
