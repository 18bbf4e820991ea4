package org.chivevale.consensus;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chivevale.consensus.raft.RaftNode;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.RaftMessage;
import org.junit.jupiter.api.Test;

/** Requests to join that two members answer with requests of their own, without an end. */
class JoinTrafficTest {
    private static final long STEP_NANOS = 5_000_000;
    private static final int STEPS_TO_SETTLE = 2_000;

    /** Far more than three members need in a step in which nobody waits for the clock. */
    private static final int MAX_MESSAGES_IN_A_STEP = 1_000;

    private static final List<HostPort> SEEDS =
            List.of(
                    new HostPort("10.0.0.1", 7000),
                    new HostPort("10.0.0.2", 7000),
                    new HostPort("10.0.0.3", 7000));

    private record Delivery(HostPort to, RaftMessage message) {}

    /** A member without state of its own. */
    private static final class NoState implements StateMachine {
        @Override
        public boolean apply(long index, byte[] payload) {
            return true;
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(byte[] state) {}

        @Override
        public void onLeadershipChange(boolean isLeader, long term) {}
    }

    private final Map<HostPort, RaftNode> nodes = new HashMap<>();
    private final Deque<Delivery> network = new ArrayDeque<>();
    private final Random random = new Random(1);
    private long nowNanos = 1_000_000_000;
    private int stores;

    /** Starts a member with an empty folder and the settings of its first start. */
    private void startEmpty(HostPort address) {
        stores++;
        RaftNode node =
                new RaftNode(
                        address,
                        new MemoryStorage("store" + stores),
                        new NoState(),
                        (to, message) -> network.add(new Delivery(to, message)),
                        RaftSimulation.TIMING,
                        15,
                        random,
                        () -> nowNanos);
        node.setProcessStart(nowNanos);
        node.setSeeds(SEEDS);
        node.bootstrap(SEEDS);
        nodes.put(address, node);
    }

    private void settle() {
        for (int i = 0; i < STEPS_TO_SETTLE; i++) {
            nowNanos += STEP_NANOS;
            List.copyOf(nodes.values()).forEach(RaftNode::tick);
            int delivered = 0;
            while (!network.isEmpty()) {
                Delivery next = network.poll();
                nodes.get(next.to()).receive(next.message());
                delivered++;
                assertTrue(delivered < MAX_MESSAGES_IN_A_STEP, "the last is " + next);
            }
        }
    }

    @Test
    void wipedSeedsThatBootstrapAgainOneAfterTheOtherDoNotAskEachOtherForEver() {
        SEEDS.forEach(this::startEmpty);
        settle();
        startEmpty(SEEDS.get(1));
        settle();
        startEmpty(SEEDS.get(2));
        settle();
        assertTrue(nodes.values().stream().anyMatch(RaftNode::isLeader));
    }
}
