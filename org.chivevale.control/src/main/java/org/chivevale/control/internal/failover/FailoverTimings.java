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
public final class FailoverTimings {
    private static final Logger LOG = Logger.getLogger(FailoverTimings.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_COMPLETED = 100;

    private final MeterRegistry registry;
    private final Map<GroupId, RunningFailover> running = new HashMap<>();
    private final Deque<CompletedFailover> completed = new ArrayDeque<>();

    private static final class RunningFailover {
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
    public record CompletedFailover(
            GroupId group,
            long endedUnixMillis,
            long fenceMillis,
            long collectMillis,
            long promoteMillis) {}

    FailoverTimings(MeterRegistry registry) {
        this.registry = registry;
    }

    void onPhaseChange(GroupId group, FailoverPhase before, FailoverPhase after, long nowNanos) {
        if (before == null && after != null) {
            RunningFailover started = new RunningFailover();
            started.startedNanos = nowNanos;
            started.fencedNanos = nowNanos;
            started.collectedNanos = nowNanos;
            running.put(group, started);
            LOG.infof("group %s: primary fenced", group);
        } else if (after == null && before != null) {
            complete(group, nowNanos);
        }
    }

    void markFenced(GroupId group, long nowNanos) {
        RunningFailover failover = running.get(group);
        if (failover != null) {
            failover.fencedNanos = nowNanos;
        }
    }

    void markPositionsCollected(GroupId group, long nowNanos) {
        RunningFailover failover = running.get(group);
        if (failover != null) {
            failover.collectedNanos = nowNanos;
        }
    }

    private void complete(GroupId group, long nowNanos) {
        RunningFailover failover = running.remove(group);
        if (failover == null) {
            return;
        }
        CompletedFailover result =
                new CompletedFailover(
                        group,
                        System.currentTimeMillis(),
                        (failover.fencedNanos - failover.startedNanos) / NANOS_PER_MILLI,
                        (failover.collectedNanos - failover.fencedNanos) / NANOS_PER_MILLI,
                        (nowNanos - failover.collectedNanos) / NANOS_PER_MILLI);
        completed.addLast(result);
        if (completed.size() > MAX_COMPLETED) {
            completed.removeFirst();
        }
        registry.timer("chivevale.control.failover")
                .record(nowNanos - failover.startedNanos, TimeUnit.NANOSECONDS);
        LOG.infof(
                "group %s: primary agreed; fence %d ms, positions %d ms, promotion %d ms",
                group, result.fenceMillis(), result.collectMillis(), result.promoteMillis());
    }

    /**
     * Lists the most recent failovers and switchovers that have ended.
     *
     * @return oldest first
     */
    public List<CompletedFailover> completed() {
        return List.copyOf(completed);
    }
}
