package org.chivevale.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.chivevale.consensus.RaftSimulation.Member;
import org.chivevale.wire.proto.AppendAnswer;
import org.chivevale.wire.proto.AppendRequest;
import org.chivevale.wire.proto.JoinAnswer;
import org.chivevale.wire.proto.JoinRequest;
import org.chivevale.wire.proto.Participants;
import org.chivevale.wire.proto.RaftMessage;
import org.chivevale.wire.proto.SnapshotRequest;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;
import org.chivevale.wire.proto.VoteAnswer;
import org.chivevale.wire.proto.VoteRequest;
import org.junit.jupiter.api.Test;

/**
 * Guards against a message of the log that can be decoded but makes no sense: it must neither fail
 * the step that handles it nor change the log, the term or the leader of the member that gets it.
 */
class RaftNonsenseTest {
    private static final long SEED = 7;

    private final RaftSimulation simulation = new RaftSimulation(SEED);

    private void form() {
        simulation.add(5);
        simulation.members.forEach(member -> member.start(true));
        simulation.run(4_000);
        for (int i = 0; i < 5; i++) {
            simulation.propose();
            simulation.run(50);
        }
    }

    /** Messages whose sender, term or content makes no sense; without a sender if it would. */
    private static List<RaftMessage.Builder> nonsense(long term, long lastIndex) {
        List<RaftMessage.Builder> messages = new ArrayList<>();
        for (String from : List.of("x", "/", "10.0.0.1:7000", "10.0.0.1:7000/", "x/y")) {
            messages.add(append(term, AppendRequest.newBuilder()).setFrom(from));
            messages.add(message(term).setFrom(from).setJoinRequest(JoinRequest.newBuilder()));
            messages.add(message(term + 1).setFrom(from).setVoteRequest(VoteRequest.newBuilder()));
        }
        for (long wrong : List.of(-1L, Long.MIN_VALUE, Long.MAX_VALUE)) {
            messages.add(append(wrong, AppendRequest.newBuilder()));
            messages.add(message(wrong).setVoteAnswer(VoteAnswer.newBuilder()));
            messages.add(message(wrong).setAppendAnswer(AppendAnswer.newBuilder()));
            messages.add(answer(term, wrong, true));
            messages.add(answer(term, wrong, false));
            messages.add(append(term, AppendRequest.newBuilder().setPreviousIndex(wrong)));
            messages.add(
                    append(
                            term,
                            AppendRequest.newBuilder()
                                    .setPreviousIndex(lastIndex + 50)
                                    .setPreviousTerm(-1)
                                    .setCommitIndex(lastIndex + 50)));
            messages.add(append(term, AppendRequest.newBuilder().setCommitIndex(-1)));
            messages.add(entries(term, lastIndex, entry(lastIndex + 1, wrong)));
            messages.add(entries(term, lastIndex, entry(wrong, term)));
            messages.add(snapshot(term, StoredSnapshot.newBuilder().setIndex(wrong)));
            messages.add(
                    snapshot(
                            term,
                            StoredSnapshot.newBuilder().setIndex(lastIndex + 9).setTerm(wrong)));
        }
        messages.add(answer(term, lastIndex + 50, true));
        messages.add(answer(term, lastIndex + 50, false));
        messages.add(entries(term, lastIndex, entry(lastIndex + 3, term)));
        Participants participants = Participants.newBuilder().addVoters("x").build();
        messages.add(
                entries(term, lastIndex, entry(lastIndex + 1, term).setParticipants(participants)));
        messages.add(
                snapshot(
                        term,
                        StoredSnapshot.newBuilder()
                                .setIndex(lastIndex + 9)
                                .setTerm(term)
                                .setParticipants(participants)));
        messages.add(message(term).setJoinAnswer(JoinAnswer.newBuilder().setLeader("x")));
        messages.add(message(term));
        return messages;
    }

    private static RaftMessage.Builder message(long term) {
        return RaftMessage.newBuilder().setTerm(term);
    }

    private static RaftMessage.Builder append(long term, AppendRequest.Builder request) {
        return message(term).setAppendRequest(request);
    }

    private static RaftMessage.Builder answer(long term, long index, boolean matched) {
        return message(term)
                .setAppendAnswer(AppendAnswer.newBuilder().setIndex(index).setMatched(matched));
    }

    private static StoredEntry.Builder entry(long index, long term) {
        return StoredEntry.newBuilder().setIndex(index).setTerm(term);
    }

    private static RaftMessage.Builder entries(
            long term, long previous, StoredEntry.Builder entry) {
        return append(
                term,
                AppendRequest.newBuilder()
                        .setPreviousIndex(previous)
                        .setPreviousTerm(term)
                        .addEntries(entry));
    }

    private static RaftMessage.Builder snapshot(long term, StoredSnapshot.Builder snapshot) {
        return message(term).setSnapshotRequest(SnapshotRequest.newBuilder().setSnapshot(snapshot));
    }

    private static long lastIndex(Member member) {
        List<StoredEntry> entries = member.storage.entries();
        return entries.isEmpty()
                ? member.storage.snapshot().getIndex()
                : entries.get(entries.size() - 1).getIndex();
    }

    @Test
    void nonsenseChangesNothing() {
        form();
        Member leader = simulation.leader();
        List<String> failures = new ArrayList<>();
        for (Member receiver : simulation.members) {
            Member sender = receiver == leader ? simulation.members.get(0) : leader;
            if (sender == receiver) {
                sender = simulation.members.get(1);
            }
            String from = sender.address + "/" + sender.storage.hardState().getStoreId();
            long term = leader.storage.hardState().getTerm();
            for (RaftMessage.Builder nonsense : nonsense(term, lastIndex(receiver))) {
                if (nonsense.getFrom().isEmpty()) {
                    nonsense.setFrom(from);
                }
                String before = state(receiver);
                try {
                    receiver.node.receive(nonsense.build());
                } catch (RuntimeException e) {
                    failures.add(e + " after " + nonsense);
                }
                if (!before.equals(state(receiver))) {
                    failures.add("changed by " + nonsense);
                }
            }
        }
        assertEquals(List.of(), failures);
        assertFalse(simulation.acknowledged.isEmpty());
        simulation.repairAndVerify();
    }

    private static String state(Member member) {
        return member.storage.hardState().getTerm()
                + " "
                + lastIndex(member)
                + " "
                + member.node.leader()
                + " "
                + member.applied;
    }
}
