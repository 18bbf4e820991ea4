package org.chivevale.control.internal.log;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.chivevale.consensus.ReplicatedLog;
import org.chivevale.consensus.SingleNodeLog;
import org.chivevale.consensus.raft.MemberId;
import org.chivevale.consensus.raft.RaftNode;
import org.chivevale.consensus.raft.RaftTiming;
import org.chivevale.consensus.store.LogStore;
import org.chivevale.control.ControlSettings;
import org.chivevale.core.account.ClientKey;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Operator;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.Outcome;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.chivevale.process.ProcessEnd;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.OperatorPut;
import org.chivevale.wire.proto.RaftMessage;
import org.chivevale.wire.proto.SessionSecretPut;
import org.jboss.logging.Logger;

/**
 * Appends changes to the replicated log, one entry at a time.
 *
 * <p>Invariant: proposals are queued, and an entry is built only after the previous append has
 * ended, so its changes are based on the configuration with all earlier entries. Used on the event
 * loop.
 */
public final class LogService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "log";

    private static final Logger LOG = Logger.getLogger(LogService.class);
    private static final int SECRET_BYTES = 32;
    private static final String FIRST_OPERATOR = "root";
    private static final long TICK_MILLIS = 30;
    private static final long OPEN_RETRY_MILLIS = 300;
    private static final int HEARTBEAT_MILLIS = 120;
    private static final int ELECTION_MIN_MILLIS = 600;
    private static final int ELECTION_MAX_MILLIS = 1000;
    private static final int LEASE_MARGIN_MILLIS = 100;
    private static final int REPLACE_AFTER_MILLIS = 1500;

    private final ControlSettings settings;

    /** When an earlier process of this member had ended at the latest. */
    private long processStartNanos = EventLoop.nowNanos();

    private final ControlState state = new ControlState();
    private final Deque<Proposal> proposals = new ArrayDeque<>();
    private final List<HostPort> seeds = new ArrayList<>();
    private ReplicatedLog log = new UnopenedLog();
    private boolean hasFailedToOpen;
    private boolean isStopped;
    private EventLoop loop;
    private FrameTransport transport;
    private boolean appending;
    private boolean isTakingProposals;
    private boolean storeFailing;

    /** Builds the changes of an entry once its proposal is first in the queue. */
    public interface ChangeBuilder {
        /**
         * Builds the changes.
         *
         * @param configuration the current configuration
         * @return the changes; empty if nothing is to be changed
         */
        List<Change> buildChanges(Configuration configuration);
    }

    private record Proposal(
            String operator, String planId, ChangeBuilder changeBuilder, Promise<Long> done) {}

    /**
     * Creates the service.
     *
     * @param settings the process's settings
     */
    public LogService(ControlSettings settings) {
        this.settings = settings;
    }

    @Override
    public void start(Kernel kernel) {
        loop = kernel.find(EventLoop.NAME, EventLoop.class);
        state.addListener(this::proposeInitialConfiguration);
        if (settings.replication() == null) {
            loop.runAndWait(this::open);
            return;
        }
        seeds.addAll(settings.replication().seeds());
        transport = new FrameTransport(loop);
        loop.runAndWait(this::openOrRetry);
        loop.every(TICK_MILLIS, () -> runGuarded(log::tick));
    }

    private void open() {
        LogStore store = LogStore.open(settings.dataFolder());
        if (hasFailedToOpen) {
            // Until now, an earlier process may have used the folder and acknowledged a leader.
            processStartNanos = EventLoop.nowNanos();
        }
        log = open(store);
        proposeInitialConfiguration();
    }

    /**
     * Opens the data folder, now or as soon as it can be.
     *
     * <p>Until then this process answers what needs no data, such as readiness and metrics, and
     * takes no part in the log.
     */
    private void openOrRetry() {
        if (isStopped) {
            return;
        }
        try {
            open();
            LOG.infof("data folder %s opened", settings.dataFolder());
        } catch (ChivevaleException e) {
            if (ProcessEnd.isFinal(e)) {
                throw e;
            }
            logStoreFailure(e);
            hasFailedToOpen = true;
            loop.vertx().setTimer(OPEN_RETRY_MILLIS, ignored -> retryOpening());
        }
    }

    private void retryOpening() {
        try {
            openOrRetry();
        } catch (ChivevaleException e) {
            ProcessEnd.endSoon(e);
        }
    }

    private ReplicatedLog open(LogStore store) {
        ControlSettings.Replication replication = settings.replication();
        if (replication == null) {
            return new SingleNodeLog(settings.id(), store, state, settings.snapshotEvery());
        }
        RaftNode node =
                new RaftNode(
                        settings.wireListen(),
                        store,
                        state,
                        transport,
                        timing(replication),
                        settings.snapshotEvery(),
                        new Random(),
                        EventLoop::nowNanos);
        node.setProcessStart(processStartNanos);
        node.setSeeds(seeds);
        if (replication.first()) {
            node.bootstrap(replication.seeds());
        }
        return node;
    }

    /**
     * Returns when the last earlier leader had ended at the latest.
     *
     * @param leaderSinceNanos when this process became leader, on the monotonic clock
     * @return that time, or an earlier one where it is known that no other process led before
     */
    public long earlierLeaderEndNanos(long leaderSinceNanos) {
        return log.earlierLeaderEndNanos(leaderSinceNanos);
    }

    /**
     * Replaces the seeds of the log after a reload of the settings.
     *
     * @param changed the reloaded settings
     */
    public void updateSeeds(ControlSettings changed) {
        if (changed.replication() != null) {
            seeds.clear();
            seeds.addAll(changed.replication().seeds());
            log.setSeeds(List.copyOf(seeds));
        }
    }

    private static RaftTiming timing(ControlSettings.Replication replication) {
        return new RaftTiming(
                HEARTBEAT_MILLIS,
                ELECTION_MIN_MILLIS,
                ELECTION_MAX_MILLIS,
                LEASE_MARGIN_MILLIS,
                REPLACE_AFTER_MILLIS,
                replication.voters());
    }

    /**
     * Runs a step of the log and drops it if the data folder cannot be written, so that the member
     * takes no part in the log until writes succeed again.
     */
    private void runGuarded(Runnable step) {
        try {
            step.run();
            if (storeFailing && !(log instanceof UnopenedLog)) {
                storeFailing = false;
                LOG.info("data folder can be written again");
            }
        } catch (ChivevaleException e) {
            logStoreFailure(e);
        }
    }

    private void logStoreFailure(ChivevaleException failure) {
        if (!storeFailing) {
            LOG.errorf("data folder cannot be used: %s: %s", failure.code(), failure.getMessage());
        }
        storeFailing = true;
    }

    private void proposeInitialConfiguration() {
        boolean uninitialized = log.isLeader() && state.configuration().version() == 0;
        if (uninitialized && proposals.isEmpty() && !appending) {
            propose(FIRST_OPERATOR, "", now -> now.version() == 0 ? initialChanges() : List.of());
        }
    }

    /**
     * Handles a message of the log from another control process.
     *
     * @param message the received message
     */
    public void handleRaftMessage(RaftMessage message) {
        HostPort sender;
        try {
            sender = MemberId.parse(message.getFrom()).address();
        } catch (ChivevaleException | IllegalArgumentException e) {
            LOG.debugf("dropped a message of the log: %s", e.getMessage());
            return;
        }
        if (transport != null) {
            transport.recordReceived(sender);
        }
        runGuarded(() -> log.receive(message));
    }

    /**
     * Lists the addresses of the control processes that may become leader.
     *
     * @return the leader first, if it is known
     */
    public List<String> memberAddresses() {
        return log.memberAddresses();
    }

    /**
     * Returns the id of this process.
     *
     * @return the id from the settings
     */
    public String processId() {
        return settings.id();
    }

    private List<Change> initialChanges() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        Change session =
                Change.newBuilder()
                        .setSessionSecretPut(
                                SessionSecretPut.newBuilder()
                                        .setSecret(ByteString.copyFrom(secret)))
                        .build();
        if (settings.operatorKey().isEmpty()) {
            return List.of(session);
        }
        ClientKey key = ClientKey.parse(settings.operatorKey());
        return List.of(
                session,
                Change.newBuilder()
                        .setOperatorPut(
                                OperatorPut.newBuilder()
                                        .setOperatorId(FIRST_OPERATOR)
                                        .setKeyId(key.id())
                                        .setHash(ByteString.copyFrom(key.hash()))
                                        .setRole(Operator.Role.ALL.name()))
                        .build());
    }

    /**
     * Returns the state machine of the log.
     *
     * @return the state
     */
    public ControlState state() {
        return state;
    }

    /**
     * Tells whether this process is the leader and holds its lease.
     *
     * @return true while it may accept proposals
     */
    public boolean isLeader() {
        return log.isLeader();
    }

    /**
     * Returns the leader.
     *
     * @return its address, or its id in a deployment with one process; empty when none is known
     */
    public String leader() {
        return log.leader();
    }

    /**
     * Appends an entry after all earlier proposals have ended.
     *
     * @param operator the operator or service that proposes it
     * @param planId the plan that it carries out; may be empty
     * @param changeBuilder builds the changes; an exception that it throws fails the proposal
     * @return the version of the entry, or 0 when there was nothing to change
     */
    public Future<Long> propose(String operator, String planId, ChangeBuilder changeBuilder) {
        Promise<Long> done = Promise.promise();
        proposals.addLast(new Proposal(operator, planId, changeBuilder, done));
        appendNext();
        return done.future();
    }

    /** Appends the next proposals; a nested call leaves them to the loop of the outer one. */
    private void appendNext() {
        if (isTakingProposals) {
            return;
        }
        isTakingProposals = true;
        try {
            while (!appending && !proposals.isEmpty()) {
                tryAppend(proposals.removeFirst());
            }
        } finally {
            isTakingProposals = false;
        }
    }

    private void tryAppend(Proposal proposal) {
        try {
            append(proposal);
        } catch (ChivevaleException e) {
            proposal.done().fail(e);
        } catch (RuntimeException e) {
            LOG.errorf(e, "a proposal of '%s' failed", proposal.operator());
            proposal.done().fail(e);
        }
    }

    private void append(Proposal proposal) {
        if (!log.isLeader()) {
            throw new ChivevaleException(ResultCode.NOT_LEADER, "the leader is " + log.leader());
        }
        List<Change> changes = proposal.changeBuilder().buildChanges(state.configuration());
        if (changes.isEmpty()) {
            proposal.done().complete(0L);
            return;
        }
        LogEntry entry =
                LogEntry.newBuilder()
                        .setVersion(state.configuration().version() + 1)
                        .setAcceptedUnixMillis(System.currentTimeMillis())
                        .setOperatorId(proposal.operator())
                        .setPlanId(proposal.planId())
                        .addAllChanges(changes)
                        .build();
        appending = true;
        try {
            log.append(entry.toByteArray(), result -> onAppended(proposal, entry, result));
        } catch (RuntimeException e) {
            appending = false;
            throw e;
        }
    }

    private void onAppended(Proposal proposal, LogEntry entry, ReplicatedLog.AppendResult result) {
        appending = false;
        switch (result) {
            case APPLIED -> proposal.done().complete(entry.getVersion());
            case SUPERSEDED ->
                    proposal.done()
                            .fail(
                                    new ChivevaleException(
                                            ResultCode.VERSION_CONFLICT,
                                            "version " + entry.getVersion() + " was superseded"));
            case FAILED ->
                    proposal.done()
                            .fail(
                                    new ChivevaleException(
                                            ResultCode.INTERNAL,
                                            "version "
                                                    + entry.getVersion()
                                                    + " could not be applied"));
            default ->
                    proposal.done()
                            .fail(
                                    new ChivevaleException(
                                            ResultCode.NOT_LEADER,
                                            Outcome.UNKNOWN,
                                            "leadership was lost while version "
                                                    + entry.getVersion()
                                                    + " was being committed; confirm again"));
        }
        appendNext();
    }

    @Override
    public void drain() {
        loop.runAndWait(log::transferLeadership);
    }

    @Override
    public void stop() {
        loop.runAndWait(
                () -> {
                    isStopped = true;
                    log.close();
                });
        if (transport != null) {
            transport.close();
        }
    }
}
