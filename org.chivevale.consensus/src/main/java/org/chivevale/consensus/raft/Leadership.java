package org.chivevale.consensus.raft;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.chivevale.consensus.ReplicatedLog.AppendResult;
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
 * period and an entry of its own term is committed, and not before a new log has formed; the
 * membership changes one member at a time, and only after that entry and the previous change are
 * committed. Not thread safe.
 */
final class Leadership {
    private static final Logger LOG = Logger.getLogger(Leadership.class);
    private static final long SNAPSHOT_RESEND_NANOS = 1_000_000_000;

    /** Time in which new members ask the leader of a new log several times to join. */
    private static final long FIRST_JOIN_NANOS = 500_000_000;

    /** A new log takes no changes for so long at most, if a new member does not catch up. */
    private static final long MAX_FORMATION_NANOS = 3_000_000_000L;

    private final RaftNode node;
    private final RaftLog log;
    private final RaftTiming timing;
    private final Map<String, PeerProgress> peers = new HashMap<>();
    private final Map<String, Long> joinRequests = new HashMap<>();
    private final long electedNanos;

    /** True if the log had no changes, or had just been formed, when this leader was elected. */
    private final boolean isNewLog;

    private long firstIndexOfTerm;
    private long lastSentNanos;
    private boolean leadershipReported;

    Leadership(RaftNode node, long nowNanos) {
        this.node = node;
        this.log = node.log();
        this.timing = node.timing();
        this.electedNanos = nowNanos;
        this.firstIndexOfTerm = log.lastIndex() + 1;
        this.isNewLog =
                log.isWithoutChanges() || node.hasFormedLogSince(nowNanos - MAX_FORMATION_NANOS);
        updatePeers(nowNanos);
    }

    private void updatePeers(long nowNanos) {
        Participants participants = log.participants();
        List<String> members = new ArrayList<>(participants.getVotersList());
        members.addAll(participants.getLearnersList());
        members.remove(node.self());
        peers.keySet().retainAll(members);
        for (String member : members) {
            peers.computeIfAbsent(member, key -> new PeerProgress(log.lastIndex() + 1, nowNanos));
        }
    }

    void append(StoredEntry.Builder entry, Consumer<AppendResult> done) {
        long index = log.lastIndex() + 1;
        StoredEntry stored = entry.setIndex(index).setTerm(node.currentTerm()).build();
        if (done != null) {
            node.applier().awaitApplied(index, done);
        }
        log.append(List.of(stored));
        if (stored.hasParticipants()) {
            updatePeers(node.clockNanos());
        }
        replicate();
        updateCommitIndex();
    }

    void tick(long nowNanos) {
        boolean pastGracePeriod = nowNanos - electedNanos > timing.electionMinNanos();
        if (pastGracePeriod && !hasMajorityAnsweredSince(nowNanos - timing.electionMinNanos())) {
            node.onQuorumLost();
            return;
        }
        reportLeadership();
        if (nowNanos - lastSentNanos >= timing.heartbeatNanos()) {
            replicate();
            proposeMembershipChange(nowNanos);
        }
    }

    private void replicate() {
        lastSentNanos = node.clockNanos();
        peers.forEach(this::replicateTo);
    }

    private void replicateTo(String member, PeerProgress progress) {
        long previous = progress.nextIndex() - 1;
        if (previous < log.snapshotIndex()) {
            sendSnapshot(member, progress);
            return;
        }
        List<StoredEntry> entries = log.entriesFrom(progress.nextIndex());
        AppendRequest.Builder request =
                AppendRequest.newBuilder()
                        .setPreviousIndex(previous)
                        .setPreviousTerm(log.term(previous))
                        .addAllEntries(entries)
                        .setCommitIndex(node.applier().commitIndex())
                        .setSentNanos(lastSentNanos);
        progress.recordSent(previous + entries.size());
        node.sendTo(member, RaftMessage.newBuilder().setAppendRequest(request));
    }

    private void sendSnapshot(String member, PeerProgress progress) {
        if (progress.startSnapshot(lastSentNanos, SNAPSHOT_RESEND_NANOS)) {
            node.sendTo(
                    member,
                    RaftMessage.newBuilder()
                            .setSnapshotRequest(
                                    SnapshotRequest.newBuilder()
                                            .setSnapshot(log.snapshot())
                                            .setSentNanos(lastSentNanos)));
        }
    }

    void onAppendAnswer(String member, AppendAnswer answer) {
        PeerProgress progress = peers.get(member);
        if (progress == null) {
            return;
        }
        progress.recordAnswer(answer.getSentNanos(), node.clockNanos());
        if (!answer.getMatched()) {
            progress.backtrackTo(answer.getIndex());
            replicateTo(member, progress);
            return;
        }
        boolean behind = answer.getIndex() < log.lastIndex();
        progress.recordMatch(answer.getIndex());
        updateCommitIndex();
        if (behind && progress.nextIndex() <= log.lastIndex()) {
            replicateTo(member, progress);
        }
        reportLeadership();
    }

    private void updateCommitIndex() {
        List<Long> matched = new ArrayList<>();
        for (String voter : log.participants().getVotersList()) {
            matched.add(voter.equals(node.self()) ? log.lastIndex() : matchIndex(voter));
        }
        matched.sort(Comparator.reverseOrder());
        long replicated = matched.isEmpty() ? 0 : matched.get(matched.size() / 2);
        if (replicated > node.applier().commitIndex() && replicated >= firstIndexOfTerm) {
            node.applier().advanceCommitIndex(replicated);
            replicate();
        }
        reportLeadership();
    }

    private long matchIndex(String voter) {
        PeerProgress progress = peers.get(voter);
        return progress == null ? 0 : progress.matchIndex();
    }

    /** Notifies the state machine once, when this leader first holds its lease. */
    private void reportLeadership() {
        if (!leadershipReported && holdsLease(node.clockNanos())) {
            leadershipReported = true;
            node.onLeaseEstablished();
        }
    }

    /** True once the state machine knows that this member leads. */
    boolean isReported() {
        return leadershipReported;
    }

    /**
     * True while a majority has answered within the lease and an entry of this term is committed;
     * false while the log forms.
     */
    boolean holdsLease(long nowNanos) {
        return !isForming(nowNanos)
                && node.applier().commitIndex() >= firstIndexOfTerm
                && hasMajorityAnsweredSince(nowNanos - timing.leaseNanos());
    }

    /**
     * True while a new log has fewer voters than wanted and may get more.
     *
     * <p>What is acknowledged then would not survive the loss of as many disks as later.
     */
    private boolean isForming(long nowNanos) {
        Participants now = log.participants();
        boolean mayGrow =
                nowNanos - electedNanos < FIRST_JOIN_NANOS
                        || now.getLearnersCount() > 0
                        || !now.getVotersList().containsAll(joinRequests.keySet());
        return isNewLog
                && nowNanos - electedNanos < MAX_FORMATION_NANOS
                && now.getVotersCount() < timing.voters()
                && mayGrow;
    }

    private boolean hasMajorityAnsweredSince(long nanos) {
        List<String> voters = log.participants().getVotersList();
        int answered = 0;
        for (String voter : voters) {
            PeerProgress progress = peers.get(voter);
            boolean hasAnswered =
                    voter.equals(node.self())
                            || progress != null && progress.hasAnsweredSince(nanos);
            answered += hasAnswered ? 1 : 0;
        }
        return answered * 2 > voters.size();
    }

    String mostUpToDateVoter() {
        return log.participants().getVotersList().stream()
                .filter(peers::containsKey)
                .max(Comparator.comparingLong(this::matchIndex))
                .orElse(null);
    }

    void onJoinRequest(String member, long nowNanos) {
        joinRequests.put(member, nowNanos);
        proposeMembershipChange(nowNanos);
    }

    /** Proposes the next membership change, if the previous one is committed. */
    private void proposeMembershipChange(long nowNanos) {
        boolean lastChangeCommitted =
                log.participantsIndex() <= node.applier().commitIndex()
                        && node.applier().commitIndex() >= firstIndexOfTerm;
        if (!lastChangeCommitted) {
            return;
        }
        joinRequests
                .values()
                .removeIf(requestedNanos -> nowNanos - requestedNanos > timing.replaceAfterNanos());
        Participants now = log.participants();
        Participants next =
                new MembershipPolicy(node, peers, timing, nowNanos).next(now, joinRequests);
        if (!next.equals(now)) {
            LOG.infof(
                    "control participants: voters %s, learners %s",
                    next.getVotersList(), next.getLearnersList());
            append(StoredEntry.newBuilder().setParticipants(next), null);
        }
    }
}
