package org.chivevale.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.consensus.RaftSimulation.Member;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.EvacuationChanges;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.LogEntry;

/**
 * Plays evacuation orders of two operators over a replicated log with faults.
 *
 * <p>Guards against an acknowledged order that a change of leader, two wiped disks or a loss of
 * power of all members undoes, and against members that disagree on what is evacuated.
 */
class EvacuationLogProperties {
    private static final List<String> DATA_CENTERS = List.of("a", "b", "c");
    private static final int DISKS_THAT_MAY_BE_LOST = 2;

    /** A configuration, and the entries that took effect in it. */
    private record Replayed(Configuration configuration, List<String> effective) {
        static Replayed of(Member member) {
            Replayed replayed = new Replayed(new Configuration(), new ArrayList<>());
            member.applied.forEach(replayed::apply);
            return replayed;
        }

        /**
         * Applies an entry; as in control, one that was built from an older version has no effect.
         */
        private void apply(String text) {
            LogEntry entry = parse(text);
            if (entry != null && entry.getVersion() == configuration.version() + 1) {
                configuration.apply(entry);
                effective.add(text);
            }
        }

        /** Returns the entry, or null for a value of the simulation's own. */
        private static LogEntry parse(String text) {
            try {
                return text.startsWith("order:")
                        ? LogEntry.parseFrom(
                                Base64.getDecoder().decode(text.substring("order:".length())))
                        : null;
            } catch (InvalidProtocolBufferException e) {
                throw new AssertionError(e);
            }
        }

        List<Boolean> evacuated() {
            return DATA_CENTERS.stream().map(configuration::isEvacuated).toList();
        }
    }

    private static void giveOrder(RaftSimulation simulation, int number) {
        Member leader = simulation.leader();
        if (leader == null) {
            return;
        }
        Configuration now = Replayed.of(leader).configuration();
        String dataCenter = DATA_CENTERS.get(simulation.random.nextInt(DATA_CENTERS.size()));
        String operator = "operator-" + simulation.random.nextInt(2);
        List<Change> changes =
                simulation.random.nextBoolean()
                        ? EvacuationChanges.evacuate(now, dataCenter, operator, number)
                        : EvacuationChanges.restore(now, dataCenter);
        if (changes.isEmpty()) {
            return;
        }
        LogEntry entry =
                LogEntry.newBuilder()
                        .setVersion(now.version() + 1)
                        .setAcceptedUnixMillis(number)
                        .setOperatorId(operator)
                        .addAllChanges(changes)
                        .build();
        simulation.propose(
                leader, "order:" + Base64.getEncoder().encodeToString(entry.toByteArray()));
    }

    private static void injectFault(RaftSimulation simulation) {
        Member victim = simulation.members.get(simulation.random.nextInt(5));
        switch (simulation.random.nextInt(6)) {
            case 0 -> victim.kill();
            case 1 -> simulation.isolate(victim);
            case 2 -> simulation.healLinks();
            case 3 ->
                    victim.pausedUntilNanos =
                            simulation.nowNanos
                                    + simulation.random.nextInt(4_000) * RaftSimulation.MILLI;
            case 4 -> {
                simulation.members.forEach(Member::kill);
                simulation.run(200);
                simulation.members.forEach(member -> member.start(false));
            }
            default ->
                    simulation.members.stream()
                            .filter(member -> member.node == null)
                            .forEach(member -> member.start(false));
        }
    }

    @Property(tries = 100, seed = "20261205")
    void noAcknowledgedOrderIsLostAndAllMembersAgree(@ForAll long seed) {
        RaftSimulation simulation = new RaftSimulation(seed);
        simulation.add(5);
        simulation.members.forEach(member -> member.start(true));
        simulation.run(4_000);
        for (int step = 0; step < 25; step++) {
            injectFault(simulation);
            for (int i = 0; i < 4; i++) {
                giveOrder(simulation, 10 * step + i);
                simulation.run(20 + simulation.random.nextInt(300));
            }
        }
        simulation.repairAndVerify();
        for (int i = 0; i < DISKS_THAT_MAY_BE_LOST; i++) {
            simulation.members.get(simulation.random.nextInt(2) + 2 * i).wipe();
        }
        List<String> acknowledged = List.copyOf(simulation.acknowledged);
        simulation.repairAndVerify();
        Replayed leader = Replayed.of(simulation.leader());
        assertTrue(leader.effective().size() > 0, "no order was taken");
        for (Member member : simulation.members) {
            Replayed replayed = Replayed.of(member);
            assertEquals(leader.evacuated(), replayed.evacuated(), "at " + member.address);
            assertTrue(replayed.effective().equals(leader.effective()), "at " + member.address);
        }
        for (String order : acknowledged) {
            assertTrue(simulation.leader().applied.contains(order), "an order is lost");
        }
    }
}
