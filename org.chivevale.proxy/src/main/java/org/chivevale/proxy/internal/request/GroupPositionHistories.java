package org.chivevale.proxy.internal.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.route.PositionHistory;

/**
 * Position histories of the groups that this proxy serves.
 *
 * <p>Invariant: each history holds samples of a single term. Used on the event loop.
 */
public final class GroupPositionHistories {
    private static final long SAMPLE_INTERVAL_NANOS = 5_000_000;
    private static final long ACTIVE_AFTER_READ_NANOS = 5_000_000_000L;

    private final Map<GroupId, Entry> entries = new HashMap<>();

    private static final class Entry {
        final PositionHistory history = new PositionHistory(SAMPLE_INTERVAL_NANOS);
        long term;
        long lastReadAtNanos;
    }

    /**
     * Returns the history of a group, cleared first when the group's term has changed.
     *
     * @param group the group
     * @return the live history
     */
    public PositionHistory historyOf(Group group) {
        Entry entry = entries.computeIfAbsent(group.id(), key -> new Entry());
        if (entry.term != group.term()) {
            entry.term = group.term();
            entry.history.clear();
        }
        return entry.history;
    }

    /**
     * Records a position of a primary; ignored when the group's term is no longer the sample's.
     *
     * @param group the group
     * @param term the term under which the position was requested
     * @param requestedAtNanos the monotonic time of the request
     * @param position the position that the primary reported
     */
    public void recordSample(Group group, long term, long requestedAtNanos, long position) {
        if (group.term() == term) {
            historyOf(group).addSample(requestedAtNanos, position);
        }
    }

    /**
     * Records a read of a group, so that its primary is sampled for some time.
     *
     * @param group the group
     * @param nowNanos the current monotonic time
     */
    public void recordRead(Group group, long nowNanos) {
        historyOf(group);
        entries.get(group.id()).lastReadAtNanos = nowNanos;
    }

    /**
     * Returns whether a group was read recently.
     *
     * @param group the group
     * @param nowNanos the current monotonic time
     * @return true while its primary should be sampled
     */
    public boolean isActive(GroupId group, long nowNanos) {
        Entry entry = entries.get(group);
        return entry != null
                && entry.lastReadAtNanos != 0
                && nowNanos - entry.lastReadAtNanos < ACTIVE_AFTER_READ_NANOS;
    }

    /**
     * Lists the groups whose primaries should be sampled.
     *
     * @param nowNanos the current monotonic time
     * @return the groups that were read recently
     */
    public List<GroupId> activeGroups(long nowNanos) {
        return entries.keySet().stream().filter(group -> isActive(group, nowNanos)).toList();
    }
}
