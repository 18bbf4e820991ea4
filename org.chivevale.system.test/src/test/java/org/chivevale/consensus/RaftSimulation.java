package org.chivevale.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.chivevale.consensus.raft.RaftNode;
import org.chivevale.consensus.raft.RaftTiming;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.RaftMessage;

/**
 * Members of a replicated log on a simulated network and clock. Messages are lost, delayed,
 * duplicated and reordered; members are killed, wiped, paused and partitioned; their clocks run at
 * different rates. Safety is checked in every step: one entry per index, one leader per term, one
 * leader lease at a time, and no leader with a lease that lacks an acknowledged entry.
 */
final class RaftSimulation {
    static final long MILLI = 1_000_000;
    private static final int SNAPSHOT_EVERY = 15;

    /** Values with this prefix fail when they are applied. */
    static final String UNREADABLE = "unreadable";

    private static final int MAX_LATE_MILLIS = 5_000;
    static final RaftTiming TIMING = new RaftTiming(120, 600, 1000, 100, 1500, 5);

    final Random random;
    final List<Member> members = new ArrayList<>();
    final List<String> acknowledged = new ArrayList<>();
    private final Map<Long, String> committedByIndex = new TreeMap<>();
    private final PriorityQueue<Delivery> network = new PriorityQueue<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Map<Long, String> leaders = new HashMap<>();
    double lossShare;
    double duplicateShare;

    /** Share of messages that arrive up to {@link #MAX_LATE_MILLIS} late. */
    double lateShare;

    int maxDelayMillis = 15;
    long nowNanos = 1_000 * MILLI;
    private long order;
    private int proposals;

    /** Messages that members have sent so far. */
    int sentMessages;

    /** Proposals without a result so far. */
    int unanswered;

    private int storeCount;

    /** Number of entries that a member had applied when the newest one was acknowledged. */
    private int acknowledgedLength;

    private String newestAcknowledged = "";
    private RaftNode lastLeaseHolder;
    private long lastLeaseNanos;

    private record Delivery(
            long atNanos, long order, HostPort from, HostPort to, RaftMessage message)
            implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** One member, its disk and the entries that it has applied. */
    final class Member implements StateMachine {
        final HostPort address;
        MemoryStorage storage;
        RaftNode node;
        long pausedUntilNanos;

        /** Seconds of this member's clock in a second of the simulation. */
        double clockRate = 1;

        long stoppedNanos = nowNanos;
        boolean isLeader;
        final List<String> applied = new ArrayList<>();

        Member(int number) {
            address = new HostPort("10.0.0." + number, 7000);
        }

        long toLocalNanos(long nanos) {
            return (long) (nanos * clockRate);
        }

        /** Fails if a read or a grant of this member would now carry an older state. */
        void checkReads() {
            if (!isRunning() || !node.isLeader()) {
                return;
            }
            boolean isCurrent =
                    acknowledgedLength == 0
                            || applied.size() >= acknowledgedLength
                                    && applied.get(acknowledgedLength - 1)
                                            .equals(newestAcknowledged);
            if (!isCurrent) {
                throw new AssertionError(
                        address + " reads under a lease without " + newestAcknowledged);
            }
        }

        boolean isRunning() {
            return node != null && nowNanos >= pausedUntilNanos;
        }

        void start(boolean first) {
            if (storage == null) {
                storage = new MemoryStorage("store" + ++storeCount);
            }
            applied.clear();
            isLeader = false;
            node =
                    new RaftNode(
                            address,
                            storage,
                            this,
                            (to, message) -> transmit(address, to, message),
                            TIMING,
                            SNAPSHOT_EVERY,
                            random,
                            () -> toLocalNanos(nowNanos));
            node.setProcessStart(toLocalNanos(stoppedNanos));
            List<HostPort> seeds =
                    List.of(members.get(0).address, members.get(1).address, members.get(2).address);
            node.setSeeds(seeds);
            if (first) {
                node.bootstrap(seeds);
            }
        }

        /** Runs a step as the process does: a step that cannot write is dropped. */
        void runGuarded(Runnable step) {
            try {
                step.run();
            } catch (ChivevaleException e) {
                if (!storage.hasFailed) {
                    throw e;
                }
            }
            checkReads();
        }

        void kill() {
            node = null;
            stoppedNanos = nowNanos;
        }

        void wipe() {
            node = null;
            stoppedNanos = nowNanos;
            storage = null;
        }

        @Override
        public boolean apply(long index, byte[] payload) {
            String text = new String(payload, StandardCharsets.UTF_8);
            if (text.startsWith(UNREADABLE)) {
                throw new IllegalStateException("'" + text + "' cannot be applied");
            }
            String before = committedByIndex.putIfAbsent(index, text);
            if (before != null && !before.equals(text)) {
                throw new AssertionError(
                        "entries "
                                + before
                                + " and "
                                + text
                                + " are both committed at index "
                                + index);
            }
            applied.add(text);
            return true;
        }

        @Override
        public byte[] snapshot() {
            return String.join("\n", applied).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void restore(byte[] state) {
            applied.clear();
            String text = new String(state, StandardCharsets.UTF_8);
            if (!text.isEmpty()) {
                applied.addAll(List.of(text.split("\n")));
            }
        }

        @Override
        public void onLeadershipChange(boolean becameLeader, long term) {
            isLeader = becameLeader;
            String other = becameLeader ? leaders.putIfAbsent(term, address.toString()) : null;
            if (other != null && !other.equals(address.toString())) {
                throw new AssertionError("term " + term + " has two leaders");
            }
        }
    }

    RaftSimulation(long seed) {
        random = new Random(seed);
    }

    void add(int count) {
        for (int i = 0; i < count; i++) {
            members.add(new Member(members.size() + 1));
        }
    }

    private void transmit(HostPort from, HostPort to, RaftMessage message) {
        sentMessages++;
        if (random.nextDouble() < lossShare) {
            return;
        }
        int copies = random.nextDouble() < duplicateShare ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            int longestMillis = random.nextDouble() < lateShare ? MAX_LATE_MILLIS : maxDelayMillis;
            long delay = MILLI + (long) (random.nextDouble() * longestMillis * MILLI);
            network.add(new Delivery(nowNanos + delay, order++, from, to, message));
        }
    }

    /** Cuts the link between two members in one direction. */
    void cutLink(Member from, Member to) {
        cutLinks.add(from.address + ">" + to.address);
    }

    void isolate(Member member) {
        for (Member other : members) {
            cutLink(member, other);
            cutLink(other, member);
        }
    }

    void healLinks() {
        cutLinks.clear();
    }

    void run(int millis) {
        long endNanos = nowNanos + millis * MILLI;
        while (nowNanos < endNanos) {
            nowNanos += 5 * MILLI;
            members.forEach(Member::checkReads);
            deliver();
            for (Member member : members) {
                if (member.isRunning()) {
                    member.runGuarded(member.node::tick);
                }
            }
            checkSingleLeaseHolder();
        }
    }

    private void deliver() {
        List<Delivery> deferred = new ArrayList<>();
        while (!network.isEmpty() && network.peek().atNanos() <= nowNanos) {
            Delivery next = network.poll();
            Member to = member(next.to());
            if (to == null || to.node == null) {
                continue;
            }
            if (!to.isRunning()) {
                deferred.add(next);
            } else if (!cutLinks.contains(next.from() + ">" + next.to())) {
                to.runGuarded(() -> to.node.receive(next.message()));
            }
        }
        network.addAll(deferred);
    }

    private Member member(HostPort address) {
        return members.stream().filter(one -> one.address.equals(address)).findFirst().orElse(null);
    }

    private void checkSingleLeaseHolder() {
        long leaseHolders =
                members.stream()
                        .filter(Member::isRunning)
                        .filter(one -> one.node.isLeader())
                        .count();
        if (leaseHolders > 1) {
            throw new AssertionError("two members hold the leader lease at once");
        }
        Member holder = leader();
        if (holder != null) {
            checkEarlierLeaderHadEnded(holder);
            lastLeaseHolder = holder.node;
            lastLeaseNanos = nowNanos;
        }
    }

    private void checkEarlierLeaderHadEnded(Member holder) {
        boolean isNew = lastLeaseHolder != null && holder.node != lastLeaseHolder;
        long endNanos = holder.node.earlierLeaderEndNanos(holder.toLocalNanos(nowNanos));
        if (isNew && endNanos < holder.toLocalNanos(lastLeaseNanos)) {
            throw new AssertionError("another leader held its lease after its assumed end");
        }
    }

    Member leader() {
        return members.stream()
                .filter(Member::isRunning)
                .filter(one -> one.node.isLeader())
                .findFirst()
                .orElse(null);
    }

    /** Proposes a value to the leader, if there is one, and records it once acknowledged. */
    void propose() {
        Member leader = leader();
        if (leader == null) {
            return;
        }
        propose(leader, "v" + ++proposals);
    }

    /** Proposes a value to a leader and records it once acknowledged. */
    void propose(Member leader, String value) {
        unanswered++;
        leader.node.append(
                value.getBytes(StandardCharsets.UTF_8),
                result -> {
                    unanswered--;
                    if (result == ReplicatedLog.AppendResult.APPLIED) {
                        acknowledged.add(value);
                        acknowledgedLength = leader.applied.size();
                        newestAcknowledged = value;
                    }
                });
    }

    /** Ends cuts and pauses, and starts the members that are down, as at a later start. */
    void bringBackAll() {
        healLinks();
        for (Member member : members) {
            member.pausedUntilNanos = 0;
            if (member.node == null) {
                member.start(false);
            }
        }
    }

    /**
     * Repairs all faults, then checks that the leader has applied every acknowledged value exactly
     * once and that a new value can be committed.
     */
    void repairAndVerify() {
        repairAndVerify(8_000);
    }

    /** As {@link #repairAndVerify()}, with another time until a leader has to be there. */
    void repairAndVerify(int millis) {
        lossShare = 0;
        lateShare = 0;
        members.stream()
                .filter(member -> member.storage != null)
                .forEach(
                        member -> {
                            member.storage.isFull = false;
                            member.storage.failsAtWrite = 0;
                        });
        bringBackAll();
        run(millis);
        Member leader = leader();
        if (leader == null) {
            throw new AssertionError("no leader after all faults were repaired");
        }
        for (String value : acknowledged) {
            if (!leader.applied.contains(value)) {
                throw new AssertionError("acknowledged " + value + " is lost");
            }
        }
        if (new HashSet<>(leader.applied).size() != leader.applied.size()) {
            throw new AssertionError("an entry was applied twice");
        }
        int before = acknowledged.size();
        propose();
        run(1_000);
        if (acknowledged.size() == before) {
            throw new AssertionError("no entry can be committed after all faults were repaired");
        }
    }
}
