package org.chivevale.consensus.raft;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.chivevale.consensus.raft.RaftNode.Role;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.FormationState;
import org.chivevale.wire.proto.JoinAnswer;
import org.chivevale.wire.proto.JoinRequest;
import org.chivevale.wire.proto.RaftMessage;
import org.jboss.logging.Logger;

/**
 * How a member finds the others: it asks the seeds to join their log, or forms a new one with them.
 *
 * <p>Invariants: {@link Formation} decides who becomes an initial voter; a member is eligible only
 * once its folder says so, also after a restart; an initial voter waits for the others before its
 * first election, though not for ever. Not thread safe.
 */
final class Joining {
    private static final Logger LOG = Logger.getLogger(Joining.class);
    private static final long NEW_MEMBER_INTERVAL_NANOS = 100_000_000;
    private static final long REPORT_INTERVAL_NANOS = 2_000_000_000;

    private final RaftNode node;
    private final List<HostPort> seeds = new ArrayList<>();

    /** The initial voters that this process was started with; empty once its folder names them. */
    private List<HostPort> firstStartVoters = List.of();

    /** The formation in which this member takes part; null if there is none. */
    private Formation formation;

    /** Other initial voters that have sent a message as such. */
    private final Set<String> formedVoters = new HashSet<>();

    private boolean logSeen;
    private long logSeenNanos;
    private long electionAllowedNanos;
    private long nextRequestNanos;
    private long nextReportNanos;

    Joining(RaftNode node) {
        this.node = node;
        this.nextRequestNanos = node.clockNanos();
        this.nextReportNanos = nextRequestNanos + REPORT_INTERVAL_NANOS;
        this.electionAllowedNanos = nextRequestNanos + Formation.PATIENCE_NANOS;
        if (isEligible()) {
            formWith(node.log().initialVoters());
        }
    }

    void setSeeds(List<HostPort> addresses) {
        seeds.clear();
        seeds.addAll(addresses);
        if (!isEligible()) {
            formWith(addresses);
        }
    }

    /** Makes this member eligible, at once or as soon as its folder can be written. */
    void form(List<HostPort> voters) {
        boolean isUnused = node.log().lastIndex() == 0 && node.currentTerm() == 0;
        if (isUnused && !isEligible() && voters.contains(node.selfId().address())) {
            firstStartVoters = List.copyOf(voters);
            try {
                becomeEligible(firstStartVoters);
            } catch (ChivevaleException e) {
                LOG.warnf("cannot take part in forming a log yet: %s", e.getMessage());
            }
        }
    }

    private boolean isEligible() {
        return !node.log().initialVoters().isEmpty();
    }

    private void becomeEligible(List<HostPort> voters) {
        node.log().saveInitialVoters(voters);
        firstStartVoters = List.of();
        formWith(voters);
    }

    private void formWith(List<HostPort> voters) {
        boolean isNamed = voters.contains(node.selfId().address());
        formation =
                mayForm() && isNamed
                        ? new Formation(voters, node.selfId().address(), node.timing().voters())
                        : null;
    }

    /** False once the log has changes, or this member votes in it already. */
    private boolean mayForm() {
        return node.log().isWithoutChanges() && !node.isVoter(node.self());
    }

    /** Sends requests at short intervals while this member has no log, and takes part in one. */
    void tick(long nowNanos) {
        if (!mayForm()) {
            formation = null;
        }
        if (!node.log().isWithoutChanges()) {
            return;
        }
        if (!node.leaderMember().isEmpty()) {
            onLogSeen();
            return;
        }
        sendRequestsWhenDue(nowNanos, NEW_MEMBER_INTERVAL_NANOS);
        reportWhenDue(nowNanos);
        if (!firstStartVoters.isEmpty()) {
            becomeEligible(firstStartVoters);
        }
        if (formation != null) {
            takeNextStep(nowNanos);
        }
    }

    private void takeNextStep(long nowNanos) {
        boolean logSeenLately = logSeen && nowNanos - logSeenNanos < Formation.PATIENCE_NANOS;
        switch (formation.next(isEligible(), logSeenLately, nowNanos)) {
            case BECOME_ELIGIBLE -> {
                LOG.info("no seed has a log: this may be an initial voter of a new one");
                becomeEligible(seeds);
            }
            case BECOME_VOTER -> becomeVoter(nowNanos);
            default -> {}
        }
    }

    private void becomeVoter(long nowNanos) {
        Formation formed = formation;
        node.becomeVoter(formed);
        formation = null;
        boolean complete = formed.isComplete();
        electionAllowedNanos = complete ? nowNanos + Formation.PATIENCE_NANOS : nowNanos;
        LOG.infof("this is an initial voter of a new log with %s: %s", formed.addresses(), formed);
    }

    private void reportWhenDue(long nowNanos) {
        boolean isWaiting = formation != null || isAwaitingVoters(nowNanos);
        if (isWaiting && nowNanos - nextReportNanos >= 0) {
            nextReportNanos = nowNanos + REPORT_INTERVAL_NANOS;
            LOG.infof(
                    "waiting to form a new log: %s",
                    formation != null ? formation : "not yet voters " + missingVoters());
        }
    }

    /** Notes an initial voter, so that an election can start once all of them are known as such. */
    void onMessage(RaftMessage message) {
        long nowNanos = node.clockNanos();
        if (isAwaitingVoters(nowNanos) && missingVoters().contains(message.getFrom())) {
            formedVoters.add(message.getFrom());
            if (!isAwaitingVoters(nowNanos)) {
                node.electSoon();
            }
        }
    }

    /** Notes a leader that sends its log to another folder at this address. */
    void onMisaddressed(RaftMessage message) {
        if (message.hasAppendRequest() || message.hasSnapshotRequest()) {
            onLogSeen();
        }
    }

    private void onLogSeen() {
        logSeen = true;
        logSeenNanos = node.clockNanos();
    }

    /** True while another initial voter of a new log may not be one yet, and is waited for. */
    boolean isAwaitingVoters(long nowNanos) {
        return node.currentTerm() == 0
                && nowNanos - electionAllowedNanos < 0
                && !missingVoters().isEmpty();
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
        Set<HostPort> targets = new LinkedHashSet<>(seeds);
        targets.addAll(node.log().initialVoters());
        targets.remove(node.selfId().address());
        RaftMessage request = node.message().setJoinRequest(request()).build();
        targets.forEach(target -> node.transmit(target, request));
    }

    private JoinRequest.Builder request() {
        JoinRequest.Builder request = JoinRequest.newBuilder();
        if (node.log().isWithoutChanges()) {
            request.setFormation(state());
        }
        return request;
    }

    /** What this member, whose log has no changes, tells others. */
    private FormationState state() {
        List<HostPort> voters = isEligible() ? node.log().initialVoters() : seeds;
        return FormationState.newBuilder()
                .addAllVoters(voters.stream().map(HostPort::toString).sorted().distinct().toList())
                .setEligible(isEligible())
                .build();
    }

    void onRequest(RaftMessage request) {
        if (!request.getJoinRequest().hasFormation()) {
            onLogSeen();
        }
        if (node.role() == Role.LEADER) {
            node.leadership().onJoinRequest(request.getFrom(), node.clockNanos());
            return;
        }
        JoinAnswer.Builder answer = JoinAnswer.newBuilder().setLeader(node.leaderMember());
        if (node.log().isWithoutChanges()) {
            answer.setFormation(state());
        }
        node.send(request.getFrom(), node.message().setJoinAnswer(answer));
    }

    /**
     * Asks the leader that an answer names; counts the answer of a member without changes.
     *
     * <p>Only answers count, since a request may be older than the process that sent it.
     */
    void onAnswer(RaftMessage message) {
        JoinAnswer answer = message.getJoinAnswer();
        String leader = answer.getLeader();
        boolean otherLeader = !leader.isEmpty() && !leader.equals(node.self());
        if (otherLeader && node.role() != Role.LEADER) {
            node.send(leader, node.message().setJoinRequest(request()));
        }
        if (!answer.hasFormation() || !leader.isEmpty()) {
            onLogSeen();
        }
        if (answer.hasFormation() && formation != null) {
            HostPort from = MemberId.parse(message.getFrom()).address();
            formation.onAnswer(from, answer.getFormation(), message.getTerm(), node.clockNanos());
        }
    }
}
