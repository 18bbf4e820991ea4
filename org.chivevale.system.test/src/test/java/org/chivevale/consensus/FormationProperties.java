package org.chivevale.consensus;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.consensus.RaftSimulation.Member;

/** A first start that never ends because seeds restart, or are wiped, while they form the log. */
class FormationProperties {
    private static final int MEMBERS = 5;
    private static final int SEEDS = 3;

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
}
