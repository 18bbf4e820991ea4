package org.chivevale.control.internal.log;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.chivevale.consensus.AgreedLog;
import org.chivevale.consensus.SoloLog;
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
import org.chivevale.process.EventLoop;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.OperatorPut;
import org.chivevale.wire.proto.RaftMessage;
import org.chivevale.wire.proto.SessionSecretPut;
import org.jboss.logging.Logger;

/**
 * Appends changes to the agreed log, one entry at a time.
 *
 * <p>Invariant: a change is made from the configuration that all earlier entries give, since the
 * next one is only made once the one before has ended. Used on the event loop.
 */
public final class LogService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "log";

    private static final Logger LOG = Logger.getLogger(LogService.class);
    private static final int SECRET_BYTES = 32;
    private static final String ROOT = "root";
    private static final long TICK_MILLIS = 30;
    private static final int HEARTBEAT_MILLIS = 120;
    private static final int ELECTION_MIN_MILLIS = 600;
    private static final int ELECTION_MAX_MILLIS = 1000;
    private static final int LEASE_MARGIN_MILLIS = 100;
    private static final int REPLACE_AFTER_MILLIS = 1500;
    private static final String FIRST_STORE = "first";

    private final ControlSettings settings;
    private final long createdNanos = EventLoop.nowNanos();
    private final ControlState state = new ControlState();
    private final Deque<Pending> queue = new ArrayDeque<>();
    private AgreedLog log;
    private EventLoop loop;
    private FrameTransport transport;
    private boolean appending;
    private boolean storeFailing;

    /** Makes the changes of an entry when its turn has come. */
    public interface ChangeMaker {
        /**
         * Makes the changes.
         *
         * @param configuration what is in force
         * @return the changes; empty for none
         */
        List<Change> make(Configuration configuration);
    }

    private record Pending(String operator, String planId, ChangeMaker maker, Promise<Long> done) {}

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
        loop.runAndWait(
                () -> {
                    LogStore store = LogStore.open(settings.dataFolder());
                    log = open(store, loop);
                    state.listen(this::writeFirst);
                    writeFirst();
                });
        if (settings.replication() != null) {
            loop.every(TICK_MILLIS, () -> guarded(log::tick));
        }
    }

    private AgreedLog open(LogStore store, EventLoop loop) {
        ControlSettings.Replication replication = settings.replication();
        if (replication == null) {
            return new SoloLog(settings.id(), store, state, settings.snapshotEvery());
        }
        transport = new FrameTransport(loop);
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
        node.runningSince(createdNanos);
        node.seeds(replication.seeds());
        if (replication.first()) {
            node.bootstrap(replication.seeds(), FIRST_STORE);
        }
        return node;
    }

    /**
     * Takes other seeds, as after a change of the settings.
     *
     * @param changed the settings that now hold
     */
    public void reseed(ControlSettings changed) {
        if (changed.replication() != null) {
            log.seeds(changed.replication().seeds());
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

    /** A member whose folder cannot be written takes no part until it can. */
    private void guarded(Runnable step) {
        try {
            step.run();
            if (storeFailing) {
                storeFailing = false;
                LOG.info("data folder can be written again");
            }
        } catch (ChivevaleException e) {
            if (!storeFailing) {
                LOG.errorf("data folder cannot be written: %s", e.getMessage());
            }
            storeFailing = true;
        }
    }

    private void writeFirst() {
        boolean first = log != null && log.leading() && state.configuration().version() == 0;
        if (first && queue.isEmpty() && !appending) {
            propose(ROOT, "", now -> now.version() == 0 ? firstChanges() : List.of());
        }
    }

    /**
     * Handles a message of another control process.
     *
     * @param message what came
     */
    public void receive(RaftMessage message) {
        if (transport != null) {
            transport.heard(MemberId.parse(message.getFrom()).address());
        }
        guarded(() -> log.receive(message));
    }

    /**
     * Lists where control processes take connections that may lead.
     *
     * @return the leader first, where it is known
     */
    public List<String> members() {
        return log.members();
    }

    /**
     * Names this process.
     *
     * @return its id
     */
    public String processId() {
        return settings.id();
    }

    private List<Change> firstChanges() {
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
                                        .setOperatorId(ROOT)
                                        .setKeyId(key.id())
                                        .setHash(ByteString.copyFrom(key.hash()))
                                        .setRole(Operator.Role.ALL.name()))
                        .build());
    }

    /**
     * Returns the state that the log drives.
     *
     * @return the state
     */
    public ControlState state() {
        return state;
    }

    /**
     * Tells whether this process may decide now.
     *
     * @return true while it leads
     */
    public boolean leading() {
        return log.leading();
    }

    /**
     * Returns the leader's id.
     *
     * @return an empty text when there is none
     */
    public String leader() {
        return log.leader();
    }

    /**
     * Appends an entry when all that were proposed before have ended.
     *
     * @param operator who wants it
     * @param planId the plan it carries out, or an empty text
     * @param maker makes the changes; what it throws fails the proposal
     * @return the version of the entry, or 0 when there was nothing to change
     */
    public Future<Long> propose(String operator, String planId, ChangeMaker maker) {
        Promise<Long> done = Promise.promise();
        queue.addLast(new Pending(operator, planId, maker, done));
        appendNext();
        return done.future();
    }

    private void appendNext() {
        if (appending || queue.isEmpty()) {
            return;
        }
        Pending pending = queue.removeFirst();
        try {
            append(pending);
        } catch (ChivevaleException e) {
            pending.done().fail(e);
            appendNext();
        }
    }

    private void append(Pending pending) {
        if (!log.leading()) {
            throw new ChivevaleException(ResultCode.NOT_LEADER, "the leader is " + log.leader());
        }
        List<Change> changes = pending.maker().make(state.configuration());
        if (changes.isEmpty()) {
            pending.done().complete(0L);
            appendNext();
            return;
        }
        LogEntry entry =
                LogEntry.newBuilder()
                        .setVersion(state.configuration().version() + 1)
                        .setAcceptedUnixMillis(System.currentTimeMillis())
                        .setOperatorId(pending.operator())
                        .setPlanId(pending.planId())
                        .addAllChanges(changes)
                        .build();
        appending = true;
        log.append(entry.toByteArray(), result -> ended(pending, entry, result));
    }

    private void ended(Pending pending, LogEntry entry, AgreedLog.Result result) {
        appending = false;
        switch (result) {
            case APPLIED -> pending.done().complete(entry.getVersion());
            case SUPERSEDED ->
                    pending.done()
                            .fail(
                                    new ChivevaleException(
                                            ResultCode.VERSION_CONFLICT,
                                            "version " + entry.getVersion() + " was taken"));
            default ->
                    pending.done()
                            .fail(
                                    new ChivevaleException(
                                            ResultCode.NOT_LEADER,
                                            Outcome.UNKNOWN,
                                            "the lead was lost while version "
                                                    + entry.getVersion()
                                                    + " was agreed; confirm again"));
        }
        appendNext();
    }

    @Override
    public void drain() {
        loop.runAndWait(log::handOver);
    }

    @Override
    public void stop() {
        loop.runAndWait(log::close);
    }
}
