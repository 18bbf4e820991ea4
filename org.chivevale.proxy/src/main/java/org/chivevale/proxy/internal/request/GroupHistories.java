package org.chivevale.proxy.internal.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.route.PositionHistory;

/**
 * The position histories of the groups that this proxy's traffic touches.
 *
 * <p>Invariant: a history holds samples of one term only. Used on the event loop.
 */
public final class GroupHistories {
    private static final long SPACING_NANOS = 5_000_000;
    private static final long ACTIVE_NANOS = 5_000_000_000L;

    private final Map<GroupId, Entry> entries = new HashMap<>();

    private static final class Entry {
        final PositionHistory history = new PositionHistory(SPACING_NANOS);
        long term;
        long lastReadNanos;
    }

    /**
     * Returns the history of a group in its term.
     *
     * @param group the group
     * @return the live history
     */
    public PositionHistory of(Group group) {
        Entry entry = entries.computeIfAbsent(group.id(), key -> new Entry());
        if (entry.term != group.term()) {
            entry.term = group.term();
            entry.history.clear();
        }
        return entry.history;
    }

    /**
     * Notes a sample of a primary.
     *
     * @param group the group
     * @param term the term under which the primary was asked
     * @param askedAtNanos when it was asked
     * @param position what it answered
     */
    public void sample(Group group, long term, long askedAtNanos, long position) {
        if (group.term() == term) {
            of(group).addSample(askedAtNanos, position);
        }
    }

    /**
     * Notes that a group is read, so that its primary is sampled.
     *
     * @param group the group
     * @param nowNanos the monotonic time
     */
    public void read(Group group, long nowNanos) {
        of(group);
        entries.get(group.id()).lastReadNanos = nowNanos;
    }

    /**
     * Tells whether a group was read lately.
     *
     * @param group the group
     * @param nowNanos the monotonic time
     * @return true while its primary should be sampled
     */
    public boolean active(GroupId group, long nowNanos) {
        Entry entry = entries.get(group);
        return entry != null
                && entry.lastReadNanos != 0
                && nowNanos - entry.lastReadNanos < ACTIVE_NANOS;
    }

    /**
     * Lists the groups whose primaries should be sampled.
     *
     * @param nowNanos the monotonic time
     * @return groups that were read lately
     */
    public List<GroupId> activeGroups(long nowNanos) {
        return entries.keySet().stream().filter(group -> active(group, nowNanos)).toList();
    }
}
