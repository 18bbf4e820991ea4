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

/**
 * The configuration as the agreed log makes it, with the newest entries for those who are behind.
 *
 * <p>Invariant: an entry has its effect only when its version follows the version in force, so of
 * two entries made from the same version one has no effect. Used on the event loop.
 */
public final class ControlState implements StateMachine {
    private static final int ENTRIES_KEPT = 2000;

    private final Configuration configuration = new Configuration();
    private final Deque<LogEntry> recent = new ArrayDeque<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private boolean leading;
    private long term;

    /**
     * Adds who is told after each change of the configuration or of the lead.
     *
     * @param listener runs on the event loop
     */
    public void listen(Runnable listener) {
        listeners.add(listener);
    }

    @Override
    public boolean apply(long index, byte[] payload) {
        LogEntry entry;
        try {
            entry = LogEntry.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            throw new ChivevaleException(
                    ResultCode.STORE_DAMAGED, "log entry " + index + " is not readable");
        }
        if (entry.getVersion() != configuration.version() + 1) {
            return false;
        }
        configuration.apply(entry);
        recent.addLast(entry);
        if (recent.size() > ENTRIES_KEPT) {
            recent.removeFirst();
        }
        listeners.forEach(Runnable::run);
        return true;
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
            throw new ChivevaleException(ResultCode.STORE_DAMAGED, "the snapshot is not readable");
        }
        recent.clear();
        listeners.forEach(Runnable::run);
    }

    @Override
    public void leadership(boolean nowLeading, long newTerm) {
        leading = nowLeading;
        term = newTerm;
        listeners.forEach(Runnable::run);
    }

    /**
     * Returns the configuration.
     *
     * @return to be read only
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the entries after a version.
     *
     * @param version what the other side has
     * @return the entries, or null when they are no longer kept
     */
    public List<LogEntry> entriesAfter(long version) {
        if (version > configuration.version()) {
            return null;
        }
        if (version == configuration.version()) {
            return List.of();
        }
        if (recent.isEmpty() || recent.peekFirst().getVersion() > version + 1) {
            return null;
        }
        return recent.stream().filter(entry -> entry.getVersion() > version).toList();
    }

    /**
     * Returns the newest entries that are kept.
     *
     * @return oldest first
     */
    public List<LogEntry> history() {
        return List.copyOf(recent);
    }

    /**
     * Describes what touched an object after a version.
     *
     * @param version the version
     * @param object the object, as {@code kind:name}
     * @return one line an entry, or null when the entries after the version are no longer kept
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
     * Tells whether this process leads.
     *
     * @return as last told
     */
    public boolean leading() {
        return leading;
    }

    /**
     * Returns the term of the log.
     *
     * @return as last told
     */
    public long term() {
        return term;
    }
}
