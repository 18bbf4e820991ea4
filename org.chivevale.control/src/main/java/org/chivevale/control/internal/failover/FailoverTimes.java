package org.chivevale.control.internal.failover;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.chivevale.core.failover.FailoverPhase;
import org.chivevale.core.group.GroupId;
import org.jboss.logging.Logger;

/**
 * Measures what the phases of replacements cost.
 *
 * <p>Used on the event loop.
 */
public final class FailoverTimes {
    private static final Logger LOG = Logger.getLogger(FailoverTimes.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int KEPT = 100;

    private final MeterRegistry registry;
    private final Map<GroupId, Running> running = new HashMap<>();
    private final Deque<Finished> finished = new ArrayDeque<>();

    private static final class Running {
        long startedNanos;
        long fencedNanos;
        long collectedNanos;
    }

    /**
     * A replacement that has ended.
     *
     * @param group the group
     * @param endedUnixMillis when it ended
     * @param fenceMillis until no proxy could act on the old primary
     * @param collectMillis until the candidate was known
     * @param promoteMillis until the new primary was agreed
     */
    public record Finished(
            GroupId group,
            long endedUnixMillis,
            long fenceMillis,
            long collectMillis,
            long promoteMillis) {}

    FailoverTimes(MeterRegistry registry) {
        this.registry = registry;
    }

    void phaseChanged(GroupId group, FailoverPhase before, FailoverPhase after, long nowNanos) {
        if (before == null && after != null) {
            Running started = new Running();
            started.startedNanos = nowNanos;
            started.fencedNanos = nowNanos;
            started.collectedNanos = nowNanos;
            running.put(group, started);
            LOG.infof("group %s: primary fenced", group);
        } else if (after == null && before != null) {
            end(group, nowNanos);
        }
    }

    void fenced(GroupId group, long nowNanos) {
        Running one = running.get(group);
        if (one != null) {
            one.fencedNanos = nowNanos;
        }
    }

    void collected(GroupId group, long nowNanos) {
        Running one = running.get(group);
        if (one != null) {
            one.collectedNanos = nowNanos;
        }
    }

    private void end(GroupId group, long nowNanos) {
        Running one = running.remove(group);
        if (one == null) {
            return;
        }
        Finished ended =
                new Finished(
                        group,
                        System.currentTimeMillis(),
                        (one.fencedNanos - one.startedNanos) / NANOS_PER_MILLI,
                        (one.collectedNanos - one.fencedNanos) / NANOS_PER_MILLI,
                        (nowNanos - one.collectedNanos) / NANOS_PER_MILLI);
        finished.addLast(ended);
        if (finished.size() > KEPT) {
            finished.removeFirst();
        }
        registry.timer("chivevale.control.failover")
                .record(nowNanos - one.startedNanos, TimeUnit.NANOSECONDS);
        LOG.infof(
                "group %s: primary agreed; fence %d ms, positions %d ms, promotion %d ms",
                group, ended.fenceMillis(), ended.collectMillis(), ended.promoteMillis());
    }

    /**
     * Lists the newest replacements that have ended.
     *
     * @return oldest first
     */
    public List<Finished> finished() {
        return List.copyOf(finished);
    }
}
