package org.chivevale.control.internal.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.chivevale.core.lease.LeaseGrantor;
import org.chivevale.wire.proto.LogEntry;

/**
 * Tracks when committed entries come into force, that is, when no proxy can use an older version.
 *
 * <p>Used on the event loop.
 */
public final class InForceTracker {
    private static final int MAX_TRACKED = 200;

    private final Deque<TrackedEntry> trackedEntries = new ArrayDeque<>();

    /**
     * A committed entry.
     *
     * @param version its version
     * @param operator the operator or service that proposed it
     * @param acceptedUnixMillis wall-clock time at which it was proposed
     * @param inForceUnixMillis wall-clock time at which it came into force; 0 until then
     */
    public record TrackedEntry(
            long version, String operator, long acceptedUnixMillis, long inForceUnixMillis) {}

    /**
     * Starts to track committed entries; those tracked already are skipped.
     *
     * @param entries the entries, in the order of their versions
     */
    public void track(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            if (!trackedEntries.isEmpty()
                    && entry.getVersion() <= trackedEntries.peekLast().version()) {
                continue;
            }
            trackedEntries.addLast(
                    new TrackedEntry(
                            entry.getVersion(),
                            entry.getOperatorId(),
                            entry.getAcceptedUnixMillis(),
                            0));
            if (trackedEntries.size() > MAX_TRACKED) {
                trackedEntries.removeFirst();
            }
        }
    }

    /**
     * Tells whether the newest entry is not in force yet.
     *
     * @return false when there is nothing to check
     */
    public boolean hasPending() {
        return !trackedEntries.isEmpty() && trackedEntries.peekLast().inForceUnixMillis() == 0;
    }

    /**
     * Marks the entries that have come into force.
     *
     * @param leases knows which version is in force
     * @param nowNanos the monotonic time
     * @param nowUnixMillis the wall-clock time
     * @return for each entry that has just come into force, the milliseconds since its proposal
     */
    public List<Long> markInForce(LeaseGrantor leases, long nowNanos, long nowUnixMillis) {
        List<Long> tookMillis = new ArrayList<>();
        List<TrackedEntry> updated = new ArrayList<>();
        Iterator<TrackedEntry> iterator = trackedEntries.iterator();
        while (iterator.hasNext()) {
            TrackedEntry tracked = iterator.next();
            boolean done =
                    tracked.inForceUnixMillis() == 0
                            && leases.isInForce(tracked.version(), nowNanos);
            if (done) {
                tookMillis.add(nowUnixMillis - tracked.acceptedUnixMillis());
                updated.add(
                        new TrackedEntry(
                                tracked.version(),
                                tracked.operator(),
                                tracked.acceptedUnixMillis(),
                                nowUnixMillis));
            } else {
                updated.add(tracked);
            }
        }
        trackedEntries.clear();
        trackedEntries.addAll(updated);
        return tookMillis;
    }

    /**
     * Lists the tracked entries.
     *
     * @return oldest first
     */
    public List<TrackedEntry> trackedEntries() {
        return List.copyOf(trackedEntries);
    }
}
