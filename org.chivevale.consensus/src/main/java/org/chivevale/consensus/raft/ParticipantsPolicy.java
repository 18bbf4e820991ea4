package org.chivevale.consensus.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.chivevale.wire.proto.Participants;

/**
 * Chooses the next membership change, one member at a time.
 *
 * <p>A new member joins as a learner and is promoted to voter once it has caught up and there are
 * fewer voters than wanted. To make room for a learner that has caught up, a voter is removed when
 * its data folder is lost, which shows by a learner at its address, or when it has been silent for
 * the replacement time. Stateless.
 */
final class ParticipantsPolicy {
    private static final int SILENCES_OF_A_LEARNER = 5;

    private final RaftNode node;
    private final Map<String, Progress> others;
    private final RaftTiming timing;
    private final long nowNanos;

    ParticipantsPolicy(
            RaftNode node, Map<String, Progress> others, RaftTiming timing, long nowNanos) {
        this.node = node;
        this.others = others;
        this.timing = timing;
        this.nowNanos = nowNanos;
    }

    Participants next(Participants now, Map<String, Long> joining) {
        List<String> voters = new ArrayList<>(now.getVotersList());
        List<String> learners = new ArrayList<>(now.getLearnersList());
        boolean changed =
                removeLostLearner(learners)
                        || addLearner(voters, learners, joining)
                        || promote(voters, learners)
                        || freePlace(voters, learners);
        return changed
                ? Participants.newBuilder().addAllVoters(voters).addAllLearners(learners).build()
                : now;
    }

    private boolean removeLostLearner(List<String> learners) {
        return learners.removeIf(
                learner -> silent(learner, SILENCES_OF_A_LEARNER * timing.replaceAfterNanos()));
    }

    private boolean addLearner(
            List<String> voters, List<String> learners, Map<String, Long> joining) {
        for (String member : joining.keySet()) {
            if (!voters.contains(member) && !learners.contains(member)) {
                learners.removeIf(learner -> sameAddress(learner, member));
                learners.add(member);
                return true;
            }
        }
        return false;
    }

    private boolean promote(List<String> voters, List<String> learners) {
        if (voters.size() >= timing.voters()) {
            return false;
        }
        for (String learner : learners) {
            boolean addressTaken = voters.stream().anyMatch(voter -> sameAddress(voter, learner));
            if (caughtUp(learner) && !addressTaken) {
                learners.remove(learner);
                voters.add(learner);
                return true;
            }
        }
        return false;
    }

    private boolean freePlace(List<String> voters, List<String> learners) {
        for (String learner : learners) {
            if (!caughtUp(learner)) {
                continue;
            }
            for (String voter : voters) {
                boolean lost =
                        sameAddress(voter, learner) || silent(voter, timing.replaceAfterNanos());
                if (lost && !voter.equals(node.self())) {
                    voters.remove(voter);
                    return true;
                }
            }
        }
        return false;
    }

    private boolean caughtUp(String member) {
        Progress progress = others.get(member);
        return progress != null
                && progress.matchIndex() >= node.applier().commitIndex()
                && !silent(member, timing.electionMinNanos());
    }

    private boolean silent(String member, long nanos) {
        Progress progress = others.get(member);
        return progress != null && progress.silentNanos(nowNanos) > nanos;
    }

    private static boolean sameAddress(String one, String other) {
        return MemberId.parse(one).address().equals(MemberId.parse(other).address());
    }
}
