package org.chivevale.consensus.raft;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.chivevale.consensus.ReplicatedLog;
import org.chivevale.consensus.StateMachine;
import org.chivevale.consensus.store.LogStorage;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.AppendAnswer;
import org.chivevale.wire.proto.AppendRequest;
import org.chivevale.wire.proto.HardState;
import org.chivevale.wire.proto.LeadershipOffer;
import org.chivevale.wire.proto.RaftMessage;
import org.chivevale.wire.proto.SnapshotRequest;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;
import org.jboss.logging.Logger;

/**
 * One member of the replicated log: follower, candidate or leader.
 *
 * <p>Implements Raft with pre-vote, check-quorum, a leader lease, learners and single-member
 * membership changes. Invariants: a vote and an entry count only once they are synced; a member
 * votes at most once per term; a member does not vote while a leader may still hold its lease; only
 * a leader that holds its lease accepts appends; a leader that cannot write its log gives up the
 * lead. The clock must keep running while the VM is suspended. Not thread safe; all times come from
 * the given clock.
 */
public final class RaftNode implements ReplicatedLog {
    private static final Logger LOG = Logger.getLogger(RaftNode.class);

    /** First election backoff: slightly above a round trip between regions. */
    private static final long INITIAL_BACKOFF_NANOS = 60_000_000;

    /** Longest election backoff; a pre-vote that fails changes nothing, so it may come often. */
    private static final long MAX_BACKOFF_NANOS = 120_000_000;

    /** The role of a member in the current term. */
    enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    private final LogStorage store;
    private final RaftLog log;
    private final StateMachine machine;
    private final Applier applier;
    private final RaftTransport transport;
    private final RaftTiming timing;
    private final Random random;
    private final LongSupplier clock;
    private final long termAtStart;
    private final boolean ledTermAtStart;
    private MemberId self;
    private String selfText;
    private final Election election = new Election(this);
    private final Joining joining;
    private Role role = Role.FOLLOWER;
    private Leadership leadership;
    private String leader = "";
    private long lastLeaderContactNanos;
    private long nextElectionNanos;
    private long lastElectionNanos;
    private boolean leaderKnown;
    private long processStartNanos;
    private boolean isLeaderAgain;
    private long electionBackoffNanos = INITIAL_BACKOFF_NANOS;
    private boolean hasFormedLog;
    private long formedNanos;
    private boolean closed;

    /**
     * Restores the member from its data folder.
     *
     * @param address where this member receives messages
     * @param store the data folder
     * @param machine what committed entries are applied to
     * @param transport sends messages to other members
     * @param timing timeouts and number of voters
     * @param snapshotEvery number of entries after which a snapshot is written
     * @param random randomizes election timeouts
     * @param clock monotonic nanoseconds; must keep running while the VM is suspended
     */
    public RaftNode(
            HostPort address,
            LogStorage store,
            StateMachine machine,
            RaftTransport transport,
            RaftTiming timing,
            int snapshotEvery,
            Random random,
            LongSupplier clock) {
        this.store = store;
        this.log = new RaftLog(store);
        this.machine = machine;
        this.applier = new Applier(log, machine, snapshotEvery);
        this.transport = transport;
        this.timing = timing;
        this.random = random;
        this.clock = clock;
        this.self = new MemberId(address, store.hardState().getStoreId());
        this.selfText = self.toString();
        this.termAtStart = store.hardState().getTerm();
        this.ledTermAtStart = termAtStart > 0 && store.hardState().getLedTerm() == termAtStart;
        this.processStartNanos = now();
        this.lastLeaderContactNanos = processStartNanos;
        this.lastElectionNanos = now() - INITIAL_BACKOFF_NANOS;
        this.joining = new Joining(this);
        scheduleElection();
        StoredSnapshot snapshot = store.snapshot();
        if (snapshot != null) {
            applier.restore(snapshot);
        }
    }

    /**
     * Lets this member form a new log with others, unless its data folder is in use already or its
     * address is not among them.
     *
     * <p>To be called at the first start of a deployment only, and not for a folder that replaces a
     * lost one. The folder remembers it for later processes.
     *
     * @param addresses the initial voters, the same in every process
     */
    public void bootstrap(List<HostPort> addresses) {
        joining.form(addresses);
    }

    /**
     * Makes this member one of the initial voters of a new log.
     *
     * <p>It does not vote in a term that another one knows already.
     */
    void becomeVoter(Formation formed) {
        hasFormedLog = true;
        formedNanos = now();
        MemberId voter = Formation.initialVoter(self.address());
        store.adoptStoreId(voter.storeId());
        self = voter;
        selfText = self.toString();
        if (log.lastIndex() == 0) {
            log.append(List.of(formed.initialEntry()));
        }
        if (formed.newestTerm() > term()) {
            saveTerm(formed.newestTerm(), selfText);
        }
        lastLeaderContactNanos = now() - timing.electionMinNanos();
        nextElectionNanos = now() + electionJitterNanos();
    }

    /**
     * Sets the start time of this process, if it started before this node was constructed.
     *
     * <p>An earlier process of this member cannot have acknowledged a leader after that time, so
     * the time during which this member must not vote is counted from there.
     *
     * @param startNanos a time on the node's clock, not before the end of the earlier process
     */
    public void setProcessStart(long startNanos) {
        processStartNanos = startNanos;
        lastLeaderContactNanos = startNanos;
        electionBackoffNanos = INITIAL_BACKOFF_NANOS;
        scheduleElection();
        if (wasLeaderBeforeStart()) {
            nextElectionNanos = now();
        }
    }

    /**
     * Tells whether an earlier process of this member led the newest term that it knows.
     *
     * <p>Then no leader can hold a lease that this member's votes could overturn: its own ended
     * with its process, those of earlier terms before, and a leader of a later term has a majority
     * that rejects this member.
     */
    private boolean wasLeaderBeforeStart() {
        return ledTermAtStart && term() == termAtStart;
    }

    /** Starts an election without delay, unless one was started a moment ago. */
    void electSoon() {
        long earliestNanos = lastElectionNanos + INITIAL_BACKOFF_NANOS;
        if (role != Role.LEADER && earliestNanos - nextElectionNanos < 0) {
            nextElectionNanos = earliestNanos;
        }
    }

    private long electionJitterNanos() {
        return (long) (random.nextDouble() * timing.electionJitterNanos());
    }

    @Override
    public void setSeeds(List<HostPort> addresses) {
        joining.setSeeds(addresses);
    }

    private long now() {
        return clock.getAsLong();
    }

    private long term() {
        return store.hardState().getTerm();
    }

    private void onLeaderContact() {
        leaderKnown = true;
        electionBackoffNanos = INITIAL_BACKOFF_NANOS;
    }

    /**
     * Schedules the next election.
     *
     * <p>While no leader is known, the delay is an exponential backoff that starts short, since the
     * vote may have been split or the other members may just be starting. No election starts while
     * a leader may still hold its lease.
     */
    void scheduleElection() {
        if (leaderKnown) {
            nextElectionNanos = now() + timing.electionMinNanos() + electionJitterNanos();
            return;
        }
        long leaseRemainingNanos =
                wasLeaderBeforeStart()
                        ? 0
                        : Math.max(lastLeaderContactNanos + timing.electionMinNanos() - now(), 0);
        long backoffNanos = (long) ((1 + random.nextDouble()) * electionBackoffNanos);
        nextElectionNanos = now() + Math.max(leaseRemainingNanos, backoffNanos);
        electionBackoffNanos = Math.min(2 * electionBackoffNanos, MAX_BACKOFF_NANOS);
    }

    @Override
    public void tick() {
        if (closed) {
            return;
        }
        long now = now();
        joining.tick(now);
        if (role == Role.LEADER) {
            leadership.tick(now);
        } else if (now - nextElectionNanos >= 0) {
            onElectionTimeout(now);
        }
    }

    private void onElectionTimeout(long now) {
        leader = "";
        leaderKnown = false;
        lastElectionNanos = now;
        boolean mayElect = isVoter(selfText) && !joining.isAwaitingVoters(now);
        if (mayElect) {
            election.start(true, wasLeaderBeforeStart());
        }
        joining.sendRequestsWhenDue(now, timing.electionMinNanos());
        if (!mayElect) {
            scheduleElection();
        }
    }

    boolean isVoter(String member) {
        return log.participants().getVotersList().contains(member);
    }

    RaftMessage.Builder message() {
        return RaftMessage.newBuilder().setFrom(selfText).setTerm(term());
    }

    void send(String to, RaftMessage.Builder message) {
        transport.send(MemberId.parse(to).address(), message.setTo(to).build());
    }

    @Override
    public void receive(RaftMessage message) {
        if (closed) {
            return;
        }
        long lastIndex = role == Role.LEADER ? log.lastIndex() : MessageCheck.MAX_NUMBER;
        String fault = MessageCheck.findFault(message, lastIndex);
        if (fault != null) {
            LOG.debugf("dropped a message of the log: %s", fault);
            return;
        }
        if (isAddressedToSelf(message)) {
            handle(message);
        } else {
            joining.onMisaddressed(message);
        }
    }

    /** Rejects messages to an earlier data folder at this address, which has been lost. */
    private boolean isAddressedToSelf(RaftMessage message) {
        return message.getTo().isEmpty() || message.getTo().equals(selfText);
    }

    private void handle(RaftMessage message) {
        joining.onMessage(message);
        switch (message.getBodyCase()) {
            case JOIN_REQUEST -> joining.onRequest(message);
            case JOIN_ANSWER -> joining.onAnswer(message);
            case VOTE_REQUEST -> election.onVoteRequest(message);
            case VOTE_ANSWER -> election.onVoteAnswer(message);
            case APPEND_REQUEST -> {
                if (acceptLeader(message)) {
                    onAppendRequest(message.getFrom(), message.getAppendRequest());
                }
            }
            case SNAPSHOT_REQUEST -> {
                if (acceptLeader(message)) {
                    onSnapshotRequest(message.getFrom(), message.getSnapshotRequest());
                }
            }
            case APPEND_ANSWER -> onAppendAnswer(message);
            case LEADERSHIP_OFFER -> {
                if (message.getTerm() == term() && isVoter(selfText)) {
                    election.start(false, true);
                }
            }
            default -> LOG.debugf("ignored a message without a body from %s", message.getFrom());
        }
    }

    /** Accepts the sender as leader; returns false when its term is outdated. */
    private boolean acceptLeader(RaftMessage message) {
        if (message.getTerm() < term()) {
            send(
                    message.getFrom(),
                    message().setAppendAnswer(AppendAnswer.newBuilder().setMatched(false)));
            return false;
        }
        if (message.getTerm() > term()) {
            saveTerm(message.getTerm(), "");
        }
        if (role != Role.FOLLOWER || !leader.equals(message.getFrom())) {
            stepDown("accepted leader " + message.getFrom());
            leader = message.getFrom();
        }
        lastLeaderContactNanos = now();
        onLeaderContact();
        scheduleElection();
        return true;
    }

    void saveTerm(long term, String votedFor) {
        HardState.Builder state = store.hardState().toBuilder().clearLedTerm();
        store.saveHardState(state.setTerm(term).setVotedFor(votedFor).build());
    }

    void stepDown(String reason) {
        boolean wasLeader = role == Role.LEADER;
        role = Role.FOLLOWER;
        leadership = null;
        leader = "";
        scheduleElection();
        if (wasLeader) {
            LOG.infof("control lead lost in term %d: %s", term(), reason);
            machine.onLeadershipChange(false, term());
            applier.failWaiting();
        }
    }

    private void onAppendRequest(String from, AppendRequest request) {
        AppendAnswer.Builder answer =
                AppendAnswer.newBuilder().setSentNanos(request.getSentNanos());
        if (!log.matches(request.getPreviousIndex(), request.getPreviousTerm())) {
            long tryIndex = Math.min(request.getPreviousIndex(), log.lastIndex() + 1);
            answer.setMatched(false).setIndex(Math.max(log.snapshotIndex() + 1, tryIndex - 1));
        } else {
            log.append(withoutKnownEntries(request.getEntriesList()));
            long match = request.getPreviousIndex() + request.getEntriesCount();
            applier.advanceCommitIndex(Math.min(request.getCommitIndex(), match));
            answer.setMatched(true).setIndex(match);
        }
        send(from, message().setAppendAnswer(answer));
    }

    /** Drops the leading entries that this log already has. */
    private List<StoredEntry> withoutKnownEntries(List<StoredEntry> entries) {
        int first = 0;
        while (first < entries.size()) {
            StoredEntry entry = entries.get(first);
            if (!log.matches(entry.getIndex(), entry.getTerm())) {
                break;
            }
            first++;
        }
        return entries.subList(first, entries.size());
    }

    private void onSnapshotRequest(String from, SnapshotRequest request) {
        StoredSnapshot snapshot = request.getSnapshot();
        if (snapshot.getIndex() > applier.commitIndex()) {
            log.installSnapshot(snapshot);
            applier.restore(snapshot);
        }
        AppendAnswer.Builder answer =
                AppendAnswer.newBuilder()
                        .setMatched(true)
                        .setIndex(snapshot.getIndex())
                        .setSentNanos(request.getSentNanos());
        send(from, message().setAppendAnswer(answer));
    }

    private void onAppendAnswer(RaftMessage message) {
        if (message.getTerm() > term()) {
            saveTerm(message.getTerm(), "");
            stepDown("term " + message.getTerm() + " has started");
        } else if (role == Role.LEADER && message.getTerm() == term()) {
            leadership.onAppendAnswer(message.getFrom(), message.getAppendAnswer());
        }
    }

    @Override
    public void append(byte[] payload, Consumer<AppendResult> done) {
        if (!isLeader()) {
            done.accept(AppendResult.NOT_LEADER);
            return;
        }
        try {
            leadership.append(
                    StoredEntry.newBuilder().setPayload(ByteString.copyFrom(payload)), done);
        } catch (ChivevaleException e) {
            LOG.warnf("control lead given up, the log cannot be written: %s", e.getMessage());
            transferLeadership();
        }
    }

    @Override
    public boolean isLeader() {
        return role == Role.LEADER && leadership.isReported() && leadership.holdsLease(now());
    }

    @Override
    public String leader() {
        return leader.isEmpty() ? "" : MemberId.parse(leader).address().toString();
    }

    @Override
    public List<String> memberAddresses() {
        List<String> addresses = new ArrayList<>();
        if (!leader.isEmpty()) {
            addresses.add(leader());
        }
        for (String voter : log.participants().getVotersList()) {
            String address = MemberId.parse(voter).address().toString();
            if (!addresses.contains(address)) {
                addresses.add(address);
            }
        }
        return addresses;
    }

    /** Offers leadership to the voter with the most up-to-date log and steps down. */
    @Override
    public void transferLeadership() {
        if (role != Role.LEADER) {
            return;
        }
        String successor = leadership.mostUpToDateVoter();
        if (successor != null) {
            send(successor, message().setLeadershipOffer(LeadershipOffer.getDefaultInstance()));
        }
        stepDown("leadership transferred");
    }

    @Override
    public void close() {
        closed = true;
        store.close();
    }

    Role role() {
        return role;
    }

    /** Returns the leadership while this member leads; otherwise null. */
    Leadership leadership() {
        return leadership;
    }

    /** Returns the leader that this member follows; empty when none is known. */
    String leaderMember() {
        return leader;
    }

    /** True if this member became a voter of a new log at that time or later. */
    boolean hasFormedLogSince(long nanos) {
        return hasFormedLog && formedNanos - nanos >= 0;
    }

    void transmit(HostPort to, RaftMessage message) {
        transport.send(to, message);
    }

    /** Becomes a candidate in the next term, or a pre-candidate in the current one. */
    void becomeCandidate(boolean preVote) {
        leader = "";
        if (!preVote) {
            saveTerm(term() + 1, selfText);
        }
        role = preVote ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    }

    /** True while this member is the leader or another leader may still hold its lease. */
    boolean mayLeaderHoldLease() {
        return role == Role.LEADER || now() - lastLeaderContactNanos < timing.electionMinNanos();
    }

    String votedFor() {
        return store.hardState().getVotedFor();
    }

    void becomeLeader() {
        isLeaderAgain = wasPreviousLeader();
        store.saveHardState(store.hardState().toBuilder().setLedTerm(term()).build());
        role = Role.LEADER;
        onLeaderContact();
        leader = selfText;
        leadership = new Leadership(this, now());
        LOG.infof("control lead taken in term %d, log up to %d", term(), log.lastIndex());
        try {
            leadership.append(StoredEntry.newBuilder(), null);
        } catch (ChivevaleException e) {
            // Without an entry of its term a leader never gets its lease, and its heartbeats would
            // keep the other members from an election.
            stepDown("the log cannot be written: " + e.getMessage());
        }
    }

    /** Returns true when the leader before this term was an earlier process of this member. */
    private boolean wasPreviousLeader() {
        return ledTermAtStart && term() == termAtStart + 1;
    }

    @Override
    public long earlierLeaderEndNanos(long leaderSinceNanos) {
        return isLeaderAgain ? processStartNanos : leaderSinceNanos;
    }

    RaftLog log() {
        return log;
    }

    RaftTiming timing() {
        return timing;
    }

    String self() {
        return selfText;
    }

    MemberId selfId() {
        return self;
    }

    long currentTerm() {
        return term();
    }

    long clockNanos() {
        return now();
    }

    Applier applier() {
        return applier;
    }

    void sendTo(String member, RaftMessage.Builder message) {
        send(member, message.setFrom(selfText).setTerm(term()));
    }

    void onQuorumLost() {
        stepDown("no answer from a majority within the election timeout");
    }

    void onLeaseEstablished() {
        machine.onLeadershipChange(true, term());
    }
}
