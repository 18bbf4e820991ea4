package org.chivevale.consensus.raft;

import java.util.ArrayList;
import java.util.List;
import org.chivevale.consensus.raft.RaftNode.Role;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.JoinAnswer;
import org.chivevale.wire.proto.JoinRequest;
import org.chivevale.wire.proto.RaftMessage;

/**
 * How a member finds the others: it asks the seeds to join their log, or forms a new one with them.
 *
 * <p>Invariant: a log is formed only by members that are all new. Not thread safe.
 */
final class Joining {
    private static final long NEW_MEMBER_INTERVAL_NANOS = 100_000_000;

    private final RaftNode node;
    private final List<HostPort> seeds = new ArrayList<>();

    /** The formation in which this member takes part; null if there is none. */
    private Formation formation;

    private long nextRequestNanos;

    Joining(RaftNode node) {
        this.node = node;
        this.nextRequestNanos = node.clockNanos();
    }

    void setSeeds(List<HostPort> addresses) {
        seeds.clear();
        seeds.addAll(addresses);
    }

    /** Takes part in a formation until it is complete or this member receives its first vote. */
    void form(Formation started) {
        formation = started;
        onNewMember(node.selfId().address());
    }

    private void onNewMember(HostPort address) {
        if (formation == null || !node.isNew()) {
            return;
        }
        formation.onNewMember(address);
        if (formation.isComplete()) {
            node.becomeVoter(formation);
            formation = null;
        }
    }

    /** Sends requests at short intervals while this member has no entry yet. */
    void tick(long nowNanos) {
        if (node.isNew() && node.log().lastIndex() == 0) {
            sendRequestsWhenDue(nowNanos, NEW_MEMBER_INTERVAL_NANOS);
        }
    }

    void sendRequestsWhenDue(long nowNanos, long intervalNanos) {
        if (nowNanos - nextRequestNanos < 0) {
            return;
        }
        nextRequestNanos = nowNanos + intervalNanos;
        RaftMessage request = request();
        for (HostPort seed : seeds) {
            if (!seed.equals(node.selfId().address())) {
                node.transmit(seed, request);
            }
        }
    }

    private RaftMessage request() {
        return node.message().setJoinRequest(JoinRequest.getDefaultInstance()).build();
    }

    void onRequest(RaftMessage request) {
        String member = request.getFrom();
        String leader = node.leaderMember();
        if (node.role() == Role.LEADER) {
            node.leadership().onJoinRequest(member, node.clockNanos());
        } else if (node.isNew() || !leader.isEmpty()) {
            JoinAnswer.Builder answer = JoinAnswer.newBuilder().setLeader(leader);
            node.send(member, node.message().setJoinAnswer(answer));
        }
        HostPort address = MemberId.parse(member).address();
        boolean areNew = node.isNew() && request.getTerm() == 0;
        if (areNew && formation != null && formation.isMissing(address)) {
            node.transmit(address, request());
        }
    }

    /** Counts an answer of term 0 for the formation; a request may be older than this process. */
    void onAnswer(RaftMessage message) {
        String leader = message.getJoinAnswer().getLeader();
        boolean otherLeader = !leader.isEmpty() && !leader.equals(node.self());
        if (otherLeader && node.role() != Role.LEADER) {
            node.send(leader, node.message().setJoinRequest(JoinRequest.getDefaultInstance()));
        }
        if (message.getTerm() == 0) {
            onNewMember(MemberId.parse(message.getFrom()).address());
        }
    }
}
