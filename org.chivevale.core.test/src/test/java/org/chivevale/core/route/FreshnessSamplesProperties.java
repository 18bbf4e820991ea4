package org.chivevale.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.group.TermPosition;

/** A replica that holds the required position lacks nothing older than the staleness bound. */
class FreshnessSamplesProperties {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private record Commit(long acknowledgedAtNanos, TermPosition position) {}

    @Property(tries = 500, seed = "20261204")
    void theRequiredPositionCoversEveryCommitOlderThanTheBound(@ForAll long seed) {
        Random random = new Random(seed);
        FreshnessSamples samples = new FreshnessSamples();
        List<Commit> commits = new ArrayList<>();
        long now = 0;
        long number = 0;
        for (int step = 0; step < 300; step++) {
            now += random.nextInt(60) * NANOS_PER_MILLI;
            if (random.nextInt(3) == 0) {
                number++;
                commits.add(new Commit(now, new TermPosition(1, number)));
            }
            if (random.nextInt(4) == 0) {
                long sampledNumber = number;
                samples.add(
                        now - random.nextInt(20) * NANOS_PER_MILLI,
                        new TermPosition(1, sampledNumber));
            }
            long bound = (100 + random.nextInt(2_000)) * NANOS_PER_MILLI;
            TermPosition required = samples.requiredPosition(now, bound);
            long nowNanos = now;
            if (required != null) {
                assertTrue(
                        commits.stream()
                                .filter(one -> one.acknowledgedAtNanos() < nowNanos - bound)
                                .allMatch(one -> one.position().compareTo(required) <= 0));
            }
        }
    }

    @Example
    void samplesOfALogThatStartsAnewCountOnceThoseOfTheOldLogHaveExpired() {
        FreshnessSamples samples = new FreshnessSamples();
        samples.add(0, new TermPosition(7, 1207));
        long newNanos = 11_000 * NANOS_PER_MILLI;
        samples.add(newNanos, new TermPosition(1, 1));
        assertEquals(
                new TermPosition(1, 1),
                samples.requiredPosition(newNanos, 1_000 * NANOS_PER_MILLI));
    }

    @Example
    void withoutARecentSampleThereIsNoRequiredPosition() {
        FreshnessSamples samples = new FreshnessSamples();
        assertNull(samples.requiredPosition(0, 1_000 * NANOS_PER_MILLI));
        samples.add(0, new TermPosition(1, 1));
        assertNull(samples.requiredPosition(1_500 * NANOS_PER_MILLI, 1_000 * NANOS_PER_MILLI));
    }
}
