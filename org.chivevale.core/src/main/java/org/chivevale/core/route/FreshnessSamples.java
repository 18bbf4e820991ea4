package org.chivevale.core.route;

import java.util.ArrayDeque;
import java.util.Deque;
import org.chivevale.core.group.TermPosition;

/**
 * Positions that a group's primary has shown, with the time before each question was sent.
 *
 * <p>Invariant: a log that holds a sample's position holds every commit that was acknowledged
 * before the sample's time, since the primary answered after that. So the oldest sample inside a
 * staleness bound is what a replica must hold. Times count on one process's clock only. Not thread
 * safe.
 */
public final class FreshnessSamples {
    private static final long KEPT_NANOS = 10_000_000_000L;
    private static final long SPACING_NANOS = 10_000_000;

    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(long askedNanos, TermPosition position) {}

    /**
     * Notes an answer of the primary.
     *
     * @param askedNanos a time before the question was sent
     * @param position the position that the answer carried
     */
    public void add(long askedNanos, TermPosition position) {
        Sample last = samples.peekLast();
        boolean useless =
                last != null
                        && (askedNanos - last.askedNanos() < SPACING_NANOS
                                || position.compareTo(last.position()) < 0);
        if (useless) {
            return;
        }
        samples.addLast(new Sample(askedNanos, position));
        while (askedNanos - samples.peekFirst().askedNanos() > KEPT_NANOS) {
            samples.removeFirst();
        }
    }

    /**
     * Returns what a log must hold to be no staler than a bound.
     *
     * @param nowNanos the time
     * @param stalenessNanos the bound
     * @return the position, or null when no sample is recent enough
     */
    public TermPosition required(long nowNanos, long stalenessNanos) {
        for (Sample sample : samples) {
            if (nowNanos - sample.askedNanos() <= stalenessNanos) {
                return sample.position();
            }
        }
        return null;
    }
}
