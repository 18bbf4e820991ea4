package org.chivevale.consensus.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.chivevale.wire.proto.Participants;

/**
 * Chooses the next membership change, one member at a time.
 *
 * <p>A new member joins as a learner and is promoted to voter once it has caught up and there are
 * fewer voters than wanted. To make room for a learner that has caught up, a voter is removed when
 * its data folder is lost, which shows by a learner at its address, or when it has been silent for
 * the replacement time. Stateless.
 */
final class MembershipPolicy {
    /** A silent learner is removed after this multiple of the replacement time of voters. */
    private static final int LEARNER_REMOVAL_FACTOR = 5;

    private final RaftNode node;
    private final Map<String, PeerProgress> peers;
    private final RaftTiming timing;
    private final long nowNanos;

    MembershipPolicy(
            RaftNode node, Map<String, PeerProgress> peers, RaftTiming timing, long nowNanos) {
        this.node = node;
        this.peers = peers;
        this.timing = timing;
        this.nowNanos = nowNanos;
    }

    Participants next(Participants now, Map<String, Long> joinRequests) {
        List<String> voters = new ArrayList<>(now.getVotersList());
        List<String> learners = new ArrayList<>(now.getLearnersList());
        boolean changed =
                removeSilentLearner(learners)
                        || addLearner(voters, learners, joinRequests)
                        || promoteLearner(voters, learners)
                        || removeLostVoter(voters, learners);
        return changed
                ? Participants.newBuilder().addAllVoters(voters).addAllLearners(learners).build()
                : now;
    }

    private boolean removeSilentLearner(List<String> learners) {
        return learners.removeIf(
                learner -> isSilent(learner, LEARNER_REMOVAL_FACTOR * timing.replaceAfterNanos()));
    }

    private boolean addLearner(
            List<String> voters, List<String> learners, Map<String, Long> joinRequests) {
        for (String member : joinRequests.keySet()) {
            if (!voters.contains(member) && !learners.contains(member)) {
                learners.removeIf(learner -> hasSameAddress(learner, member));
                learners.add(member);
                return true;
            }
        }
        return false;
    }

    private boolean promoteLearner(List<String> voters, List<String> learners) {
        if (voters.size() >= timing.voters()) {
            return false;
        }
        for (String learner : learners) {
            boolean addressTaken =
                    voters.stream().anyMatch(voter -> hasSameAddress(voter, learner));
            if (isCaughtUp(learner) && !addressTaken) {
                learners.remove(learner);
                voters.add(learner);
                return true;
            }
        }
        return false;
    }

    /** Removes a voter whose data folder is lost; if there is none, one that is silent. */
    private boolean removeLostVoter(List<String> voters, List<String> learners) {
        List<String> ready = learners.stream().filter(this::isCaughtUp).toList();
        if (ready.isEmpty()) {
            return false;
        }
        return removeFirstOther(
                        voters, voter -> ready.stream().anyMatch(one -> hasSameAddress(voter, one)))
                || removeFirstOther(voters, voter -> isSilent(voter, timing.replaceAfterNanos()));
    }

    private boolean removeFirstOther(List<String> voters, Predicate<String> isLost) {
        for (String voter : voters) {
            if (!voter.equals(node.self()) && isLost.test(voter)) {
                voters.remove(voter);
                return true;
            }
        }
        return false;
    }

    private boolean isCaughtUp(String member) {
        PeerProgress progress = peers.get(member);
        return progress != null
                && progress.matchIndex() >= node.applier().commitIndex()
                && !isSilent(member, timing.electionMinNanos());
    }

    private boolean isSilent(String member, long nanos) {
        PeerProgress progress = peers.get(member);
        return progress != null && progress.silentNanos(nowNanos) > nanos;
    }

    private static boolean hasSameAddress(String one, String other) {
        return MemberId.parse(one).address().equals(MemberId.parse(other).address());
    }
}
