package org.chivevale.core.route;

import java.util.ArrayDeque;
import java.util.Deque;
import org.chivevale.core.group.TermPosition;

/**
 * Samples of the log position of a group's primary, each with a time before its query was sent.
 *
 * <p>Invariant: a log that holds a sample's position holds every commit that was acknowledged
 * before the sample's time, since the primary responded after that. So a replica that holds the
 * position of the oldest sample within a staleness bound satisfies the bound. All times are from
 * one process's clock. Not thread safe.
 */
public final class FreshnessSamples {
    private static final long RETENTION_NANOS = 10_000_000_000L;
    private static final long MIN_SPACING_NANOS = 10_000_000;

    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(long queriedAtNanos, TermPosition position) {}

    /**
     * Adds a sample, unless it is too close to the last one or older; in a log that starts anew,
     * positions count once the samples of the old log have expired.
     *
     * @param queriedAtNanos a time before the query was sent
     * @param position the position in the primary's response
     */
    public void add(long queriedAtNanos, TermPosition position) {
        removeExpired(queriedAtNanos);
        Sample last = samples.peekLast();
        boolean isRedundant =
                last != null
                        && (queriedAtNanos - last.queriedAtNanos() < MIN_SPACING_NANOS
                                || position.compareTo(last.position()) < 0);
        if (isRedundant) {
            return;
        }
        samples.addLast(new Sample(queriedAtNanos, position));
    }

    private void removeExpired(long nowNanos) {
        while (!samples.isEmpty()
                && nowNanos - samples.peekFirst().queriedAtNanos() > RETENTION_NANOS) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the position that a log must hold to satisfy a staleness bound.
     *
     * @param nowNanos the current time
     * @param stalenessNanos the staleness bound
     * @return the position, or null when no sample is recent enough
     */
    public TermPosition requiredPosition(long nowNanos, long stalenessNanos) {
        for (Sample sample : samples) {
            if (nowNanos - sample.queriedAtNanos() <= stalenessNanos) {
                return sample.position();
            }
        }
        return null;
    }
}
