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
    private static final int KEPT = 200;

    private final Deque<Tracked> tracked = new ArrayDeque<>();

    /**
     * A committed entry.
     *
     * @param version its version
     * @param operator the operator or service that proposed it
     * @param acceptedUnixMillis wall-clock time at which it was proposed
     * @param inForceUnixMillis wall-clock time at which it came into force; 0 until then
     */
    public record Tracked(
            long version, String operator, long acceptedUnixMillis, long inForceUnixMillis) {}

    /**
     * Starts to track committed entries; those tracked already are skipped.
     *
     * @param entries the entries, in the order of their versions
     */
    public void accepted(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            if (!tracked.isEmpty() && entry.getVersion() <= tracked.peekLast().version()) {
                continue;
            }
            tracked.addLast(
                    new Tracked(
                            entry.getVersion(),
                            entry.getOperatorId(),
                            entry.getAcceptedUnixMillis(),
                            0));
            if (tracked.size() > KEPT) {
                tracked.removeFirst();
            }
        }
    }

    /**
     * Tells whether the newest entry is not in force yet.
     *
     * @return false when there is nothing to check
     */
    public boolean pending() {
        return !tracked.isEmpty() && tracked.peekLast().inForceUnixMillis() == 0;
    }

    /**
     * Marks the entries that have come into force.
     *
     * @param leases knows which version is in force
     * @param nowNanos the monotonic time
     * @param nowUnixMillis the wall-clock time
     * @return for each entry that has just come into force, the milliseconds since its proposal
     */
    public List<Long> check(LeaseGrantor leases, long nowNanos, long nowUnixMillis) {
        List<Long> took = new ArrayList<>();
        List<Tracked> updated = new ArrayList<>();
        Iterator<Tracked> all = tracked.iterator();
        while (all.hasNext()) {
            Tracked one = all.next();
            boolean done = one.inForceUnixMillis() == 0 && leases.inForce(one.version(), nowNanos);
            if (done) {
                took.add(nowUnixMillis - one.acceptedUnixMillis());
                updated.add(
                        new Tracked(
                                one.version(),
                                one.operator(),
                                one.acceptedUnixMillis(),
                                nowUnixMillis));
            } else {
                updated.add(one);
            }
        }
        tracked.clear();
        tracked.addAll(updated);
        return took;
    }

    /**
     * Lists the tracked entries.
     *
     * @return oldest first
     */
    public List<Tracked> tracked() {
        return List.copyOf(tracked);
    }
}
