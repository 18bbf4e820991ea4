package org.chivevale.consensus.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivevale.consensus.raft.RaftNode.Role;
import org.chivevale.wire.proto.RaftMessage;
import org.chivevale.wire.proto.VoteAnswer;
import org.chivevale.wire.proto.VoteRequest;

/**
 * The elections of one member: pre-vote rounds, then vote rounds.
 *
 * <p>Invariants: a vote is synced before it is sent; a candidate whose log is less up to date gets
 * no vote; while a leader may hold its lease, vote requests are ignored unless that leader has
 * transferred its leadership. Not thread safe.
 */
final class Election {
    private final RaftNode node;
    private final Set<String> votes = new HashSet<>();
    private boolean leaderAgrees;

    Election(RaftNode node) {
        this.node = node;
    }

    /**
     * Starts a round of votes.
     *
     * @param preVote true to ask whether an election could be won, without a new term
     * @param leaderAgreed true when the present leader offered its leadership
     */
    void start(boolean preVote, boolean leaderAgreed) {
        node.scheduleElection();
        leaderAgrees = leaderAgreed;
        votes.clear();
        votes.add(node.self());
        node.becomeCandidate(preVote);
        VoteRequest.Builder request =
                VoteRequest.newBuilder()
                        .setPreVote(preVote)
                        .setLeaderAgrees(leaderAgreed)
                        .setLastIndex(node.log().lastIndex())
                        .setLastTerm(node.log().lastTerm());
        long term = preVote ? node.currentTerm() + 1 : node.currentTerm();
        for (String voter : node.log().participants().getVotersList()) {
            if (!voter.equals(node.self())) {
                node.send(voter, node.message().setTerm(term).setVoteRequest(request));
            }
        }
        countVotes();
    }

    void onVoteRequest(RaftMessage message) {
        VoteRequest request = message.getVoteRequest();
        if (!request.getLeaderAgrees() && node.mayLeaderHoldLease()) {
            return;
        }
        boolean upToDate = isUpToDate(request);
        if (!upToDate && !node.mayLeaderHoldLease()) {
            node.electSoon();
        }
        if (request.getPreVote()) {
            sendVoteAnswer(message, upToDate && message.getTerm() > node.currentTerm());
            return;
        }
        if (message.getTerm() > node.currentTerm()) {
            node.saveTerm(message.getTerm(), "");
            node.stepDown("election of term " + message.getTerm());
        }
        boolean granted = upToDate && message.getTerm() == node.currentTerm() && grantVote(message);
        sendVoteAnswer(message, granted);
    }

    private boolean isUpToDate(VoteRequest request) {
        long lastTerm = node.log().lastTerm();
        return request.getLastTerm() > lastTerm
                || request.getLastTerm() == lastTerm
                        && request.getLastIndex() >= node.log().lastIndex();
    }

    private boolean grantVote(RaftMessage message) {
        String voted = node.votedFor();
        if (voted.isEmpty()) {
            node.saveTerm(node.currentTerm(), message.getFrom());
            node.scheduleElection();
            return true;
        }
        return voted.equals(message.getFrom());
    }

    private void sendVoteAnswer(RaftMessage request, boolean granted) {
        boolean preVote = request.getVoteRequest().getPreVote();
        node.send(
                request.getFrom(),
                node.message()
                        .setTerm(preVote && granted ? request.getTerm() : node.currentTerm())
                        .setVoteAnswer(
                                VoteAnswer.newBuilder().setPreVote(preVote).setGranted(granted)));
    }

    void onVoteAnswer(RaftMessage message) {
        VoteAnswer answer = message.getVoteAnswer();
        if (!answer.getGranted() && message.getTerm() > node.currentTerm()) {
            node.saveTerm(message.getTerm(), "");
            node.stepDown("term " + message.getTerm() + " has started");
            return;
        }
        boolean currentRound =
                answer.getPreVote()
                        ? node.role() == Role.PRE_CANDIDATE
                                && message.getTerm() == node.currentTerm() + 1
                        : node.role() == Role.CANDIDATE && message.getTerm() == node.currentTerm();
        if (currentRound && answer.getGranted()) {
            votes.add(message.getFrom());
            countVotes();
        }
    }

    private void countVotes() {
        List<String> voters = node.log().participants().getVotersList();
        long granted = voters.stream().filter(votes::contains).count();
        if (granted * 2 <= voters.size()) {
            return;
        }
        if (node.role() == Role.PRE_CANDIDATE) {
            start(false, leaderAgrees);
        } else if (node.role() == Role.CANDIDATE) {
            node.becomeLeader();
        }
    }
}
