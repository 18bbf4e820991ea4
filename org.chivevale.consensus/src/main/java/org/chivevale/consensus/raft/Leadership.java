package org.chivevale.consensus.raft;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.chivevale.consensus.AgreedLog.Result;
import org.chivevale.wire.proto.AppendAnswer;
import org.chivevale.wire.proto.AppendRequest;
import org.chivevale.wire.proto.Participants;
import org.chivevale.wire.proto.RaftMessage;
import org.chivevale.wire.proto.SnapshotRequest;
import org.chivevale.wire.proto.StoredEntry;
import org.jboss.logging.Logger;

/**
 * The leader's side of the protocol: replication, the leader lease and membership changes.
 *
 * <p>Invariants: the leader holds its lease only while a majority has answered within the lease
 * period and an entry of its own term is committed; the membership changes one member at a time,
 * and only after that entry and the previous change are committed. Not thread safe.
 */
final class Leadership {
    private static final Logger LOG = Logger.getLogger(Leadership.class);
    private static final long SNAPSHOT_AGAIN_NANOS = 1_000_000_000;

    private final RaftNode node;
    private final RaftLog log;
    private final RaftTiming timing;
    private final Map<String, Progress> others = new HashMap<>();
    private final Map<String, Long> joining = new HashMap<>();
    private final long sinceNanos;
    private long firstOwnIndex;
    private long sentNanos;
    private boolean announced;

    Leadership(RaftNode node, long nowNanos) {
        this.node = node;
        this.log = node.log();
        this.timing = node.timing();
        this.sinceNanos = nowNanos;
        this.firstOwnIndex = log.lastIndex() + 1;
        followParticipants(nowNanos);
    }

    private void followParticipants(long nowNanos) {
        Participants participants = log.participants();
        List<String> members = new ArrayList<>(participants.getVotersList());
        members.addAll(participants.getLearnersList());
        members.remove(node.self());
        others.keySet().retainAll(members);
        for (String member : members) {
            others.computeIfAbsent(member, key -> new Progress(log.lastIndex() + 1, nowNanos));
        }
    }

    void append(StoredEntry.Builder entry, Consumer<Result> done) {
        long index = log.lastIndex() + 1;
        StoredEntry stored = entry.setIndex(index).setTerm(node.currentTerm()).build();
        if (done != null) {
            node.applier().await(index, done);
        }
        log.append(List.of(stored));
        if (stored.hasParticipants()) {
            followParticipants(node.clockNanos());
        }
        replicate();
        advance();
    }

    void tick(long nowNanos) {
        if (nowNanos - sentNanos >= timing.heartbeatNanos()) {
            replicate();
            changeParticipants(nowNanos);
        }
        boolean pastGracePeriod = nowNanos - sinceNanos > timing.electionMinNanos();
        if (pastGracePeriod && !majorityFollowedAt(nowNanos - timing.electionMinNanos())) {
            node.quorumLost();
        }
    }

    private void replicate() {
        sentNanos = node.clockNanos();
        others.forEach(this::replicateTo);
    }

    private void replicateTo(String member, Progress progress) {
        long previous = progress.nextIndex() - 1;
        if (previous < log.snapshotIndex()) {
            sendSnapshot(member, progress);
            return;
        }
        List<StoredEntry> entries = log.from(progress.nextIndex());
        AppendRequest.Builder request =
                AppendRequest.newBuilder()
                        .setPreviousIndex(previous)
                        .setPreviousTerm(log.term(previous))
                        .addAllEntries(entries)
                        .setCommitIndex(node.applier().commitIndex())
                        .setSentNanos(sentNanos);
        progress.sentUpTo(previous + entries.size());
        node.sendTo(member, RaftMessage.newBuilder().setAppendRequest(request));
    }

    private void sendSnapshot(String member, Progress progress) {
        if (progress.snapshotDue(sentNanos, SNAPSHOT_AGAIN_NANOS)) {
            node.sendTo(
                    member,
                    RaftMessage.newBuilder()
                            .setSnapshotRequest(
                                    SnapshotRequest.newBuilder()
                                            .setSnapshot(log.snapshot())
                                            .setSentNanos(sentNanos)));
        }
    }

    void answered(String member, AppendAnswer answer) {
        Progress progress = others.get(member);
        if (progress == null) {
            return;
        }
        progress.heard(answer.getSentNanos(), node.clockNanos());
        if (!answer.getMatched()) {
            progress.rejected(answer.getIndex());
            replicateTo(member, progress);
            return;
        }
        boolean behind = answer.getIndex() < log.lastIndex();
        progress.matched(answer.getIndex());
        advance();
        if (behind && progress.nextIndex() <= log.lastIndex()) {
            replicateTo(member, progress);
        }
        announce();
    }

    private void advance() {
        List<Long> matched = new ArrayList<>();
        for (String voter : log.participants().getVotersList()) {
            matched.add(voter.equals(node.self()) ? log.lastIndex() : match(voter));
        }
        matched.sort(Comparator.reverseOrder());
        long replicated = matched.isEmpty() ? 0 : matched.get(matched.size() / 2);
        if (replicated > node.applier().commitIndex() && replicated >= firstOwnIndex) {
            node.applier().commit(replicated);
            replicate();
        }
        announce();
    }

    private long match(String voter) {
        Progress progress = others.get(voter);
        return progress == null ? 0 : progress.matchIndex();
    }

    /** Notifies the state machine once, when this leader first holds its lease. */
    private void announce() {
        if (!announced && decides(node.clockNanos())) {
            announced = true;
            node.leadingFromNow();
        }
    }

    /**
     * True while a majority has answered within the lease and an entry of this term is committed.
     */
    boolean decides(long nowNanos) {
        return node.applier().commitIndex() >= firstOwnIndex
                && majorityFollowedAt(nowNanos - timing.leaseNanos());
    }

    private boolean majorityFollowedAt(long nanos) {
        List<String> voters = log.participants().getVotersList();
        int following = 0;
        for (String voter : voters) {
            Progress progress = others.get(voter);
            boolean follows =
                    voter.equals(node.self()) || progress != null && progress.followedAt(nanos);
            following += follows ? 1 : 0;
        }
        return following * 2 > voters.size();
    }

    String furthestVoter() {
        return log.participants().getVotersList().stream()
                .filter(others::containsKey)
                .max(Comparator.comparingLong(this::match))
                .orElse(null);
    }

    void joined(String member, long nowNanos) {
        joining.put(member, nowNanos);
        changeParticipants(nowNanos);
    }

    /** Proposes the next membership change, if the previous one is committed. */
    private void changeParticipants(long nowNanos) {
        boolean lastChangeCommitted =
                log.participantsIndex() <= node.applier().commitIndex()
                        && node.applier().commitIndex() >= firstOwnIndex;
        if (!lastChangeCommitted) {
            return;
        }
        joining.values()
                .removeIf(requestedNanos -> nowNanos - requestedNanos > timing.replaceAfterNanos());
        Participants now = log.participants();
        Participants next =
                new ParticipantsPolicy(node, others, timing, nowNanos).next(now, joining);
        if (!next.equals(now)) {
            LOG.infof(
                    "control participants: voters %s, learners %s",
                    next.getVotersList(), next.getLearnersList());
            append(StoredEntry.newBuilder().setParticipants(next), null);
        }
    }
}
