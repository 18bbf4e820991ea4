package org.chivevale.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.chivevale.consensus.raft.Formation.Step;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.FormationState;
import org.junit.jupiter.api.Test;

/** Guards against a second log beside one that is out of reach, and against waiting for ever. */
class FormationTest {
    private static final int WANTED_VOTERS = 5;
    private static final long STEP_NANOS = 100_000_000;
    private static final int STEPS = 100;
    private static final HostPort SELF = new HostPort("10.0.0.1", 7000);
    private static final HostPort SECOND = new HostPort("10.0.0.2", 7000);
    private static final HostPort THIRD = new HostPort("10.0.0.3", 7000);
    private static final List<HostPort> SEEDS = List.of(SELF, SECOND, THIRD);

    private long nowNanos;

    /** Lets members answer for a while; returns the last step. */
    private Step play(
            Formation formation, boolean isEligible, List<HostPort> others, boolean areEligible) {
        Step step = Step.WAIT;
        for (int i = 0; i < STEPS && step == Step.WAIT; i++) {
            nowNanos += STEP_NANOS;
            FormationState state =
                    FormationState.newBuilder()
                            .addAllVoters(formation.addresses())
                            .setEligible(areEligible)
                            .build();
            others.forEach(other -> formation.onAnswer(other, state, 0, nowNanos));
            step = formation.next(isEligible, false, nowNanos);
        }
        return step;
    }

    @Test
    void anEmptyFolderOfOneSeedOfALargerLogFormsNone() {
        Formation alone = new Formation(List.of(SELF), SELF, WANTED_VOTERS);
        assertEquals(Step.WAIT, play(alone, false, List.of(), false));
        Formation two = new Formation(List.of(SELF, SECOND), SELF, WANTED_VOTERS);
        assertEquals(Step.WAIT, play(two, false, List.of(SECOND), false));
    }

    @Test
    void emptyFoldersOfAllSeedsFormALogOnlyWhileNoneIsSilent() {
        Formation formation = new Formation(SEEDS, SELF, WANTED_VOTERS);
        assertEquals(Step.WAIT, play(formation, false, List.of(SECOND), false));
        assertEquals(Step.BECOME_ELIGIBLE, play(formation, false, List.of(SECOND, THIRD), false));
    }

    @Test
    void anEmptyFolderLeavesTheFormationToAMajorityThatIsEligible() {
        Formation formation = new Formation(SEEDS, SELF, WANTED_VOTERS);
        assertEquals(Step.WAIT, play(formation, false, List.of(SECOND, THIRD), true));
    }

    @Test
    void aMajorityThatIsEligibleFormsALogWithoutASilentSeed() {
        Formation formation = new Formation(SEEDS, SELF, WANTED_VOTERS);
        assertEquals(Step.BECOME_VOTER, play(formation, true, List.of(SECOND), true));
        assertEquals(Step.WAIT, play(new Formation(SEEDS, SELF, 5), true, List.of(), true));
    }

    @Test
    void answersOfMembersWithOtherSeedsDoNotCount() {
        Formation formation = new Formation(SEEDS, SELF, WANTED_VOTERS);
        FormationState other =
                FormationState.newBuilder().addVoters(SECOND.toString()).setEligible(true).build();
        for (int i = 0; i < STEPS; i++) {
            nowNanos += STEP_NANOS;
            formation.onAnswer(SECOND, other, 0, nowNanos);
            assertEquals(Step.WAIT, formation.next(true, false, nowNanos));
        }
    }
}
