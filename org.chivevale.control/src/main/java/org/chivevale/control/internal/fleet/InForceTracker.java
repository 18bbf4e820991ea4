package org.chivevale.control.internal.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.chivevale.core.lease.LeaseGrantor;
import org.chivevale.wire.proto.LogEntry;

/**
 * Notes when each accepted entry came into force everywhere.
 *
 * <p>Used on the event loop.
 */
public final class InForceTracker {
    private static final int KEPT = 200;

    private final Deque<Tracked> tracked = new ArrayDeque<>();

    /**
     * An accepted entry.
     *
     * @param version its version
     * @param operator who made it
     * @param acceptedUnixMillis when it was agreed
     * @param inForceUnixMillis when nobody could act on an older one any more; 0 until then
     */
    public record Tracked(
            long version, String operator, long acceptedUnixMillis, long inForceUnixMillis) {}

    /**
     * Takes accepted entries that are not tracked yet.
     *
     * @param entries in the order of their versions
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
     * Tells whether an entry is not in force everywhere yet.
     *
     * @return false when there is nothing to check
     */
    public boolean pending() {
        return !tracked.isEmpty() && tracked.peekLast().inForceUnixMillis() == 0;
    }

    /**
     * Notes what has come into force.
     *
     * @param leases tells what is in force
     * @param nowNanos the monotonic time
     * @param nowUnixMillis the wall clock
     * @return the milliseconds that each entry took that has just come into force
     */
    public List<Long> check(LeaseGrantor leases, long nowNanos, long nowUnixMillis) {
        List<Long> took = new ArrayList<>();
        List<Tracked> updated = new ArrayList<>();
        Iterator<Tracked> all = tracked.iterator();
        while (all.hasNext()) {
            Tracked one = all.next();
            boolean done =
                    one.inForceUnixMillis() == 0 && leases.isInForce(one.version(), nowNanos);
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
