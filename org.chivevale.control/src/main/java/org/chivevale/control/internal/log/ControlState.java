package org.chivevale.control.internal.log;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.chivevale.consensus.StateMachine;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.wire.proto.ConfigurationSnapshot;
import org.chivevale.wire.proto.LogEntry;
import org.jboss.logging.Logger;

/**
 * The state machine of the replicated log: the configuration, and its newest entries for proxies
 * that catch up.
 *
 * <p>Invariant: an entry takes effect only if its version directly follows the current one, so of
 * two entries built from the same version the second has no effect. Used on the event loop.
 */
public final class ControlState implements StateMachine {
    private static final Logger LOG = Logger.getLogger(ControlState.class);
    private static final int MAX_RECENT_ENTRIES = 2000;

    /** The entries that are retained are sent in one frame; a larger one is retained alone. */
    private static final long MAX_RECENT_BYTES = 8L << 20;

    private final Configuration configuration = new Configuration();
    private final Deque<LogEntry> recentEntries = new ArrayDeque<>();
    private long recentBytes;
    private final List<Runnable> listeners = new ArrayList<>();
    private boolean isLeader;
    private long term;

    /**
     * Adds a listener that runs after each change of the configuration or of leadership.
     *
     * @param listener runs on the event loop
     */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    @Override
    public boolean apply(long index, byte[] payload) {
        LogEntry entry;
        try {
            entry = LogEntry.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            throw new ChivevaleException(
                    ResultCode.STORE_DAMAGED, "log entry " + index + " cannot be decoded");
        }
        if (entry.getVersion() != configuration.version() + 1) {
            return false;
        }
        configuration.apply(entry);
        retain(entry);
        runListeners();
        return true;
    }

    private void retain(LogEntry entry) {
        recentEntries.addLast(entry);
        recentBytes += entry.getSerializedSize();
        while (recentEntries.size() > MAX_RECENT_ENTRIES
                || recentEntries.size() > 1 && recentBytes > MAX_RECENT_BYTES) {
            recentBytes -= recentEntries.removeFirst().getSerializedSize();
        }
    }

    /** Runs all listeners; what is applied is in force, also where one of them fails. */
    private void runListeners() {
        for (Runnable listener : listeners) {
            try {
                listener.run();
            } catch (RuntimeException e) {
                LOG.errorf(e, "a listener failed at version %d", configuration.version());
            }
        }
    }

    @Override
    public byte[] snapshot() {
        return configuration.snapshot(false).toByteArray();
    }

    @Override
    public void restore(byte[] state) {
        try {
            configuration.restore(ConfigurationSnapshot.parseFrom(state));
        } catch (InvalidProtocolBufferException e) {
            throw new ChivevaleException(
                    ResultCode.STORE_DAMAGED, "the snapshot cannot be decoded");
        }
        recentEntries.clear();
        recentBytes = 0;
        runListeners();
    }

    @Override
    public void onLeadershipChange(boolean nowLeader, long newTerm) {
        isLeader = nowLeader;
        term = newTerm;
        runListeners();
    }

    /**
     * Returns the current configuration.
     *
     * @return the live object, which callers must not change
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the entries after a version.
     *
     * @param version the version that the receiver has
     * @return the entries, or null when they are no longer retained or the version is unknown
     */
    public List<LogEntry> entriesAfter(long version) {
        if (version > configuration.version()) {
            return null;
        }
        if (version == configuration.version()) {
            return List.of();
        }
        if (recentEntries.isEmpty() || recentEntries.peekFirst().getVersion() > version + 1) {
            return null;
        }
        return recentEntries.stream().filter(entry -> entry.getVersion() > version).toList();
    }

    /**
     * Returns the retained entries.
     *
     * @return oldest first
     */
    public List<LogEntry> history() {
        return List.copyOf(recentEntries);
    }

    /**
     * Lists the changes of an object after a version.
     *
     * @param version the version
     * @param object the object, as {@code kind:name}
     * @return one line per entry, or null when those entries are not available
     */
    public List<String> changesSince(long version, String object) {
        List<LogEntry> entries = entriesAfter(version);
        if (entries == null) {
            return null;
        }
        return entries.stream()
                .filter(entry -> ChangedObjects.of(entry).contains(object))
                .map(entry -> "version " + entry.getVersion() + " by " + entry.getOperatorId())
                .toList();
    }

    /**
     * Tells whether this process is the leader.
     *
     * @return true as of the last leadership change; the lease may have expired since
     */
    public boolean isLeader() {
        return isLeader;
    }

    /**
     * Returns the term of the log.
     *
     * @return the term as of the last leadership change
     */
    public long term() {
        return term;
    }
}
