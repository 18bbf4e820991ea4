package org.chivevale.consensus.raft;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.chivevale.consensus.AgreedLog;
import org.chivevale.consensus.StateMachine;
import org.chivevale.consensus.store.LogStorage;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.AppendAnswer;
import org.chivevale.wire.proto.AppendRequest;
import org.chivevale.wire.proto.HardState;
import org.chivevale.wire.proto.JoinAnswer;
import org.chivevale.wire.proto.JoinRequest;
import org.chivevale.wire.proto.LeadershipOffer;
import org.chivevale.wire.proto.Participants;
import org.chivevale.wire.proto.RaftMessage;
import org.chivevale.wire.proto.SnapshotRequest;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;
import org.jboss.logging.Logger;

/**
 * One member of the replicated log: elections, replication, its part in the membership.
 *
 * <p>After the published Raft algorithm, with pre-vote, check-quorum, a leader's lease, learners
 * and one change of membership at a time. Invariants: a vote and an entry count only once they are
 * synced; a member votes at most once a term; nobody votes while it may still lie within a leader's
 * lease; only a leader that holds its lease decides. The clock must go on while the VM is
 * suspended. Not thread safe; time comes from the clock that it is given.
 */
public final class RaftNode implements AgreedLog {
    private static final Logger LOG = Logger.getLogger(RaftNode.class);

    /** A little more than a round trip between regions. */
    private static final long FIRST_RETRY_NANOS = 60_000_000;

    /** What a member does in its term. */
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
    private MemberId self;
    private String selfText;
    private final Election election = new Election(this);
    private final List<HostPort> seeds = new ArrayList<>();
    private Role role = Role.FOLLOWER;
    private Leadership leadership;
    private String leader = "";
    private long contactNanos;
    private long electionAtNanos;
    private long joinAtNanos;
    private boolean hearsLeader;
    private long retryNanos = FIRST_RETRY_NANOS;
    private boolean closed;

    /**
     * Loads the state.
     *
     * @param address where this member takes messages
     * @param store its data folder
     * @param machine what agreed entries are applied to
     * @param transport carries messages
     * @param timing periods
     * @param snapshotEvery entries after which a snapshot is written
     * @param random spreads elections
     * @param clock nanoseconds; must go on while the VM is suspended
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
        this.contactNanos = now();
        this.joinAtNanos = now();
        scheduleElection();
        StoredSnapshot snapshot = store.snapshot();
        if (snapshot != null) {
            applier.restore(snapshot);
        }
    }

    /**
     * Makes this member one of the first voters, unless its folder already takes part or it is not
     * among them.
     *
     * @param addresses the first voters; the same everywhere
     * @param storeId identity that the first folders share
     */
    public void bootstrap(List<HostPort> addresses, String storeId) {
        boolean used = log.lastIndex() > 0 || term() > 0;
        if (used || !addresses.contains(self.address())) {
            return;
        }
        store.adoptIdentity(storeId);
        self = new MemberId(self.address(), storeId);
        selfText = self.toString();
        Participants.Builder first = Participants.newBuilder();
        for (HostPort address : addresses) {
            first.addVoters(new MemberId(address, storeId).toString());
        }
        log.append(
                List.of(
                        StoredEntry.newBuilder()
                                .setIndex(1)
                                .setTerm(0)
                                .setParticipants(first)
                                .build()));
        contactNanos = now() - timing.electionMinNanos();
        electionAtNanos = now() + electionSpread();
    }

    /**
     * Says since when this process has been running, if that was before the construction.
     *
     * <p>What an earlier process of this member acknowledged to a leader lies before that, so the
     * wait until this member may vote counts from then on.
     *
     * @param startNanos a time on the node's clock, not before the end of the earlier process
     */
    public void runningSince(long startNanos) {
        contactNanos = startNanos;
        scheduleElection();
    }

    private long electionSpread() {
        return (long) (random.nextDouble() * timing.electionSpreadNanos());
    }

    @Override
    public void seeds(List<HostPort> addresses) {
        seeds.clear();
        seeds.addAll(addresses);
    }

    private long now() {
        return clock.getAsLong();
    }

    private long term() {
        return store.hardState().getTerm();
    }

    private void hearLeader() {
        hearsLeader = true;
        retryNanos = FIRST_RETRY_NANOS;
    }

    /**
     * Sets the time of the next election. Without a leader it comes soon, since a round of votes
     * may have been split, or the others may just start; the pauses double. Nobody stands while a
     * leader may still hold its lease.
     */
    void scheduleElection() {
        if (hearsLeader) {
            electionAtNanos = now() + timing.electionMinNanos() + electionSpread();
            return;
        }
        long freeNanos = Math.max(contactNanos + timing.electionMinNanos() - now(), 0);
        long pauseNanos = (long) ((1 + random.nextDouble()) * retryNanos);
        electionAtNanos = now() + Math.max(freeNanos, pauseNanos);
        retryNanos = Math.min(2 * retryNanos, timing.electionMinNanos());
    }

    @Override
    public void tick() {
        if (closed) {
            return;
        }
        long now = now();
        if (role == Role.LEADER) {
            leadership.tick(now);
        } else if (now - electionAtNanos >= 0) {
            silence(now);
        }
    }

    private void silence(long now) {
        leader = "";
        hearsLeader = false;
        if (isVoter(selfText)) {
            election.begin(true, false);
        }
        if (now - joinAtNanos >= 0) {
            joinAtNanos = now + timing.electionMinNanos();
            askToJoin();
        }
        if (!isVoter(selfText)) {
            scheduleElection();
        }
    }

    private boolean isVoter(String member) {
        return log.participants().getVotersList().contains(member);
    }

    private void askToJoin() {
        RaftMessage.Builder message = message().setJoinRequest(JoinRequest.getDefaultInstance());
        for (HostPort seed : seeds) {
            if (!seed.equals(self.address())) {
                transport.send(seed, message.build());
            }
        }
    }

    RaftMessage.Builder message() {
        return RaftMessage.newBuilder().setFrom(selfText).setTerm(term());
    }

    void send(String to, RaftMessage.Builder message) {
        transport.send(MemberId.parse(to).address(), message.setTo(to).build());
    }

    @Override
    public void receive(RaftMessage message) {
        if (closed || !addressed(message)) {
            return;
        }
        handle(message);
    }

    /** A message to a folder that was lost is not for the one that took its place. */
    private boolean addressed(RaftMessage message) {
        return message.getTo().isEmpty() || message.getTo().equals(selfText);
    }

    private void handle(RaftMessage message) {
        switch (message.getBodyCase()) {
            case JOIN_REQUEST -> joinRequested(message.getFrom());
            case JOIN_ANSWER -> joinAnswered(message.getJoinAnswer());
            case VOTE_REQUEST -> election.requested(message);
            case VOTE_ANSWER -> election.answered(message);
            case APPEND_REQUEST -> {
                if (followLeader(message)) {
                    append(message.getFrom(), message.getAppendRequest());
                }
            }
            case SNAPSHOT_REQUEST -> {
                if (followLeader(message)) {
                    install(message.getFrom(), message.getSnapshotRequest());
                }
            }
            case APPEND_ANSWER -> appendAnswered(message);
            case LEADERSHIP_OFFER -> {
                if (message.getTerm() == term() && isVoter(selfText)) {
                    election.begin(false, true);
                }
            }
            default -> LOG.debugf("message without body from %s", message.getFrom());
        }
    }

    private void joinRequested(String member) {
        if (role == Role.LEADER) {
            leadership.joined(member, now());
        } else if (!leader.isEmpty()) {
            send(member, message().setJoinAnswer(JoinAnswer.newBuilder().setLeader(leader)));
        }
    }

    private void joinAnswered(JoinAnswer answer) {
        boolean member = !answer.getLeader().isEmpty() && !answer.getLeader().equals(selfText);
        if (member && role != Role.LEADER) {
            send(answer.getLeader(), message().setJoinRequest(JoinRequest.getDefaultInstance()));
        }
    }

    /** Takes the sender's term; false when the sender's term is over. */
    private boolean followLeader(RaftMessage message) {
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
            stepDown("following " + message.getFrom());
            leader = message.getFrom();
        }
        contactNanos = now();
        hearLeader();
        scheduleElection();
        return true;
    }

    void saveTerm(long term, String votedFor) {
        store.saveHardState(HardState.newBuilder().setTerm(term).setVotedFor(votedFor).build());
    }

    void stepDown(String reason) {
        boolean led = role == Role.LEADER;
        role = Role.FOLLOWER;
        leadership = null;
        leader = "";
        scheduleElection();
        if (led) {
            LOG.infof("control lead lost in term %d: %s", term(), reason);
            machine.leadership(false, term());
            applier.abandonWaiting();
        }
    }

    private void append(String from, AppendRequest request) {
        AppendAnswer.Builder answer =
                AppendAnswer.newBuilder().setSentNanos(request.getSentNanos());
        if (!log.agrees(request.getPreviousIndex(), request.getPreviousTerm())) {
            long tryIndex = Math.min(request.getPreviousIndex(), log.lastIndex() + 1);
            answer.setMatched(false).setIndex(Math.max(log.snapshotIndex() + 1, tryIndex - 1));
        } else {
            log.append(fresh(request.getEntriesList()));
            long match = request.getPreviousIndex() + request.getEntriesCount();
            applier.commit(Math.min(request.getCommitIndex(), match));
            answer.setMatched(true).setIndex(match);
        }
        send(from, message().setAppendAnswer(answer));
    }

    /** Leaves out the entries that this log already has. */
    private List<StoredEntry> fresh(List<StoredEntry> entries) {
        int first = 0;
        while (first < entries.size()) {
            StoredEntry entry = entries.get(first);
            if (!log.agrees(entry.getIndex(), entry.getTerm())) {
                break;
            }
            first++;
        }
        return entries.subList(first, entries.size());
    }

    private void install(String from, SnapshotRequest request) {
        StoredSnapshot snapshot = request.getSnapshot();
        if (snapshot.getIndex() > applier.commitIndex()) {
            log.install(snapshot);
            applier.restore(snapshot);
        }
        AppendAnswer.Builder answer =
                AppendAnswer.newBuilder()
                        .setMatched(true)
                        .setIndex(snapshot.getIndex())
                        .setSentNanos(request.getSentNanos());
        send(from, message().setAppendAnswer(answer));
    }

    private void appendAnswered(RaftMessage message) {
        if (message.getTerm() > term()) {
            saveTerm(message.getTerm(), "");
            stepDown("term " + message.getTerm() + " has begun");
        } else if (role == Role.LEADER && message.getTerm() == term()) {
            leadership.answered(message.getFrom(), message.getAppendAnswer());
        }
    }

    @Override
    public void append(byte[] payload, Consumer<Result> done) {
        if (!leading()) {
            done.accept(Result.NOT_LEADING);
            return;
        }
        leadership.append(StoredEntry.newBuilder().setPayload(ByteString.copyFrom(payload)), done);
    }

    @Override
    public boolean leading() {
        return role == Role.LEADER && leadership.decides(now());
    }

    @Override
    public String leader() {
        return leader.isEmpty() ? "" : MemberId.parse(leader).address().toString();
    }

    @Override
    public List<String> members() {
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

    /** Gives up the lead in favour of the voter that is furthest. */
    @Override
    public void handOver() {
        if (role != Role.LEADER) {
            return;
        }
        String successor = leadership.furthestVoter();
        if (successor != null) {
            send(successor, message().setLeadershipOffer(LeadershipOffer.getDefaultInstance()));
        }
        stepDown("handed over");
    }

    @Override
    public void close() {
        closed = true;
        store.close();
    }

    Role role() {
        return role;
    }

    /** Stands for election in the present term, or asks whether it could. */
    void stand(boolean preVote) {
        leader = "";
        if (!preVote) {
            saveTerm(term() + 1, selfText);
        }
        role = preVote ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    }

    /** True while this member may lie within a leader's lease. */
    boolean boundToLeader() {
        return role == Role.LEADER || now() - contactNanos < timing.electionMinNanos();
    }

    String votedFor() {
        return store.hardState().getVotedFor();
    }

    void lead() {
        role = Role.LEADER;
        hearLeader();
        leader = selfText;
        leadership = new Leadership(this, now());
        LOG.infof("control lead taken in term %d, log up to %d", term(), log.lastIndex());
        leadership.append(StoredEntry.newBuilder(), null);
    }

    /** What a leader needs of its member. */
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

    void quorumLost() {
        stepDown("no majority answered");
    }

    void leadingFromNow() {
        machine.leadership(true, term());
    }
}
