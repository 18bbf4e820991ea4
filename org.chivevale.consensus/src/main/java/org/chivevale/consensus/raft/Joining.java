package org.chivevale.consensus.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivevale.consensus.raft.RaftNode.Role;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.JoinAnswer;
import org.chivevale.wire.proto.JoinRequest;
import org.chivevale.wire.proto.RaftMessage;
import org.jboss.logging.Logger;

/**
 * How a member finds the others: it asks the seeds to join their log, or forms a new one with them.
 *
 * <p>Invariants: a log is formed only by members that are all new; they complete its formation one
 * by one, and none of them starts an election before it knows that all have. Not thread safe.
 */
final class Joining {
    private static final Logger LOG = Logger.getLogger(Joining.class);
    private static final long NEW_MEMBER_INTERVAL_NANOS = 100_000_000;
    private static final long REPORT_INTERVAL_NANOS = 2_000_000_000;

    private final RaftNode node;
    private final List<HostPort> seeds = new ArrayList<>();

    /** The formation in which this member takes part; null if there is none. */
    private Formation formation;

    /** Other initial voters that have sent a message as such. */
    private final Set<String> formedVoters = new HashSet<>();

    private long nextRequestNanos;
    private long nextReportNanos;

    Joining(RaftNode node) {
        this.node = node;
        this.nextRequestNanos = node.clockNanos();
        this.nextReportNanos = nextRequestNanos + REPORT_INTERVAL_NANOS;
    }

    void setSeeds(List<HostPort> addresses) {
        seeds.clear();
        seeds.addAll(addresses);
    }

    /** Takes part in a formation until this member has heard that each of the seeds is new. */
    void form(Formation started) {
        formation = started;
        onNewMember(node.selfId().address());
    }

    /** Counts an answer, not a request, which may be older than the process that sent it. */
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

    /** Sends requests at short intervals while this member is new, which also tell its id. */
    void tick(long nowNanos) {
        if (!node.isNew()) {
            return;
        }
        sendRequestsWhenDue(nowNanos, NEW_MEMBER_INTERVAL_NANOS);
        if (nowNanos - nextReportNanos >= 0 && (formation != null || isForming())) {
            nextReportNanos = nowNanos + REPORT_INTERVAL_NANOS;
            LOG.infof(
                    "waiting for all seeds to form a new log; not heard: %s",
                    formation != null ? formation.missing() : missingVoters());
        }
    }

    /** Notes an initial voter, so that an election can start once all of them are known as such. */
    void onMessage(RaftMessage message) {
        if (isForming() && missingVoters().contains(message.getFrom())) {
            formedVoters.add(message.getFrom());
            if (!isForming()) {
                node.electSoon();
            }
        }
    }

    /** True while another initial voter of a new log may not be one yet. */
    boolean isForming() {
        return node.isNew() && !missingVoters().isEmpty();
    }

    private List<String> missingVoters() {
        return node.log().participants().getVotersList().stream()
                .filter(voter -> !voter.equals(node.self()) && !formedVoters.contains(voter))
                .toList();
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

    /** Asks the leader that an answer names; counts an answer of term 0 for the formation. */
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
