package org.chivevale.consensus;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.consensus.RaftSimulation.Member;

/** A first start that never ends because seeds are lost, restart or are wiped meanwhile. */
class FormationProperties {
    private static final int MEMBERS = 5;
    private static final int SEEDS = 3;

    /** Longer than members wait for seeds that are silent, with an election. */
    private static final int FORMATION_MILLIS = 7_000;

    private static final int CATCH_UP_MILLIS = 4_000;

    /** As many as a deployment of five bears. */
    private static final int LOSSES = 2;

    @Property(tries = 300, seed = "20261206")
    void aLogIsFormedThoughSeedsRestartMeanwhile(@ForAll long seed) {
        formBesideRestarts(seed, 0);
    }

    @Property(tries = 300, seed = "20261206")
    void aLogIsFormedThoughOneSeedIsWipedMeanwhile(@ForAll long seed) {
        formBesideRestarts(seed, 1);
    }

    private static void formBesideRestarts(long seed, int wipes) {
        RaftSimulation simulation = new RaftSimulation(seed);
        simulation.add(MEMBERS);
        simulation.lossShare = simulation.random.nextDouble() * 0.6;
        simulation.duplicateShare = 0.1;
        simulation.lateShare = 0.1;
        for (int i = 0; i < MEMBERS; i++) {
            simulation.members.get(i).start(i < SEEDS);
            simulation.run(simulation.random.nextInt(100));
        }
        for (int step = 0; step < 6; step++) {
            Member victim = simulation.members.get(simulation.random.nextInt(SEEDS));
            if (step < wipes) {
                victim.wipe();
            } else {
                victim.kill();
            }
            simulation.run(simulation.random.nextInt(100));
            victim.start(true);
            simulation.run(simulation.random.nextInt(300));
            simulation.propose();
        }
        simulation.repairAndVerify();
    }

    private static RaftSimulation lossy(long seed) {
        RaftSimulation simulation = new RaftSimulation(seed);
        simulation.add(MEMBERS);
        simulation.lossShare = simulation.random.nextDouble() * 0.3;
        simulation.duplicateShare = 0.1;
        return simulation;
    }

    private static void startFirst(RaftSimulation simulation, List<Member> members) {
        for (Member member : members) {
            member.start(true);
            simulation.run(simulation.random.nextInt(100));
        }
    }

    @Property(tries = 200, seed = "20261206")
    void aLogIsFormedAndServesThoughOneSeedAndAnotherMemberNeverStart(@ForAll long seed) {
        RaftSimulation simulation = lossy(seed);
        simulation.lossShare /= 3;
        List<Member> present = new ArrayList<>(simulation.members);
        present.remove(SEEDS + simulation.random.nextInt(MEMBERS - SEEDS));
        present.remove(simulation.random.nextInt(SEEDS));
        startFirst(simulation, present);
        simulation.run(FORMATION_MILLIS);
        for (int i = 0; i < 50 && simulation.acknowledged.isEmpty(); i++) {
            simulation.propose();
            simulation.run(100);
        }
        assertFalse(simulation.acknowledged.isEmpty());
        simulation.repairAndVerify();
    }

    @Property(tries = 200, seed = "20261206")
    void aLogIsFormedOnceSeedsThatWereDarkAtTheFirstStartAreBack(@ForAll long seed) {
        RaftSimulation simulation = lossy(seed);
        List<Member> present = new ArrayList<>(simulation.members);
        Collections.shuffle(present, simulation.random);
        startFirst(simulation, present.subList(LOSSES, MEMBERS));
        simulation.run(simulation.random.nextInt(2 * FORMATION_MILLIS));
        simulation.repairAndVerify();
    }

    @Property(tries = 300, seed = "20261206")
    void aLogIsFormedThoughAllProcessesAreKilledWhileItBegins(@ForAll long seed) {
        RaftSimulation simulation = lossy(seed);
        List<Member> order = new ArrayList<>(simulation.members);
        Collections.shuffle(order, simulation.random);
        startFirst(simulation, order);
        simulation.run(simulation.random.nextInt(300));
        for (int round = 0; round < 3; round++) {
            order.forEach(Member::kill);
            Collections.shuffle(order, simulation.random);
            for (Member member : order) {
                member.start(false);
                simulation.run(simulation.random.nextInt(100));
            }
            simulation.propose();
            simulation.run(simulation.random.nextInt(2_000));
        }
        simulation.repairAndVerify();
    }

    @Property(tries = 300, seed = "20261206")
    void aLogIsFormedBesideDisksThatRefuseWritesAtTheFirstStart(@ForAll long seed) {
        RaftSimulation simulation = lossy(seed);
        startFirst(simulation, simulation.members);
        for (int i = 0; i < LOSSES; i++) {
            Member full = simulation.members.get(simulation.random.nextInt(MEMBERS));
            full.storage.isFull = simulation.random.nextBoolean();
            full.storage.failsAtWrite = 1 + simulation.random.nextInt(6);
            simulation.run(simulation.random.nextInt(1_000));
            full.kill();
            full.start(false);
        }
        simulation.run(simulation.random.nextInt(FORMATION_MILLIS));
        simulation.repairAndVerify();
    }

    @Property(tries = 100, seed = "20261206")
    void seedsThatLostTheirFoldersFormNoSecondLogHoweverLongTheOthersAreAway(@ForAll long seed) {
        RaftSimulation simulation = lossy(seed);
        simulation.lossShare /= 6;
        startFirst(simulation, simulation.members);
        simulation.run(FORMATION_MILLIS);
        simulation.propose();
        simulation.run(1_000);
        List<Member> seeds = new ArrayList<>(simulation.members.subList(0, SEEDS));
        Collections.shuffle(seeds, simulation.random);
        simulation.members.forEach(Member::kill);
        for (Member lost : seeds.subList(0, LOSSES)) {
            lost.wipe();
            lost.start(false);
        }
        simulation.run(3 * FORMATION_MILLIS);
        assertNull(simulation.leader());
        simulation.repairAndVerify();
    }

    /**
     * Loses up to two members at a time, and the next ones only after these had time to catch up. A
     * lost folder comes back empty, with first = false.
     */
    @Property(tries = 500, seed = "20261206")
    void aLogServesAndKeepsItsEntriesWhateverIsLostWhileItForms(@ForAll long seed) {
        RaftSimulation simulation = lossy(seed);
        simulation.lossShare /= 6;
        simulation.lateShare = 0.01;
        List<Member> order = new ArrayList<>(simulation.members);
        Collections.shuffle(order, simulation.random);
        startFirst(simulation, order);
        for (int step = 0; step < 4; step++) {
            Collections.shuffle(order, simulation.random);
            for (Member victim : order.subList(0, LOSSES)) {
                lose(simulation, victim);
                simulation.run(simulation.random.nextInt(300));
                simulation.propose();
            }
            simulation.run(simulation.random.nextInt(2_000));
            simulation.propose();
            simulation.bringBackAll();
            simulation.run(step == 0 ? FORMATION_MILLIS : CATCH_UP_MILLIS);
            simulation.propose();
            simulation.run(simulation.random.nextInt(500));
        }
        simulation.repairAndVerify(2 * FORMATION_MILLIS);
    }

    private static void lose(RaftSimulation simulation, Member victim) {
        switch (simulation.random.nextInt(4)) {
            case 0 -> victim.kill();
            case 1 -> simulation.isolate(victim);
            case 2 ->
                    victim.pausedUntilNanos =
                            simulation.nowNanos
                                    + simulation.random.nextInt(5_000) * RaftSimulation.MILLI;
            default -> victim.wipe();
        }
    }
}
