package org.chivevale.control.internal.log;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.chivevale.consensus.AgreedLog;
import org.chivevale.consensus.SoloLog;
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
import org.chivevale.wire.proto.SessionSecretPut;

/**
 * Appends changes to the agreed log, one entry at a time.
 *
 * <p>Invariant: a change is made from the configuration that all earlier entries give, since the
 * next one is only made once the one before has ended. Used on the event loop.
 */
public final class LogService implements Service {
    /** Name in the kernel. */
    public static final String NAME = "log";

    private static final int SECRET_BYTES = 32;
    private static final String ROOT = "root";

    private final ControlSettings settings;
    private final ControlState state = new ControlState();
    private final Deque<Pending> queue = new ArrayDeque<>();
    private AgreedLog log;
    private boolean appending;

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
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        loop.runAndWait(
                () -> {
                    LogStore store = LogStore.open(settings.dataFolder());
                    log = new SoloLog(settings.id(), store, state, settings.snapshotEvery());
                    if (state.configuration().version() == 0) {
                        propose(ROOT, "", ignored -> firstChanges());
                    }
                });
    }

    private List<Change> firstChanges() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        ClientKey key = ClientKey.parse(settings.operatorKey());
        return List.of(
                Change.newBuilder()
                        .setSessionSecretPut(
                                SessionSecretPut.newBuilder()
                                        .setSecret(ByteString.copyFrom(secret)))
                        .build(),
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
    public void stop() {
        log.close();
    }
}
