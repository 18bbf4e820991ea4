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
 * Measures the durations of the phases of failovers and switchovers.
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
     * A failover or switchover that has ended.
     *
     * @param group the group
     * @param endedUnixMillis wall-clock time at which it ended
     * @param fenceMillis time until no proxy could use the old primary
     * @param collectMillis time from there until the candidate was chosen
     * @param promoteMillis time from there until the new primary was committed
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
     * Lists the most recent failovers and switchovers that have ended.
     *
     * @return oldest first
     */
    public List<Finished> finished() {
        return List.copyOf(finished);
    }
}
