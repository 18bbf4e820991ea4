package org.chivevale.core.rate;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Checks one owner with several proxies, whose messages are lost at times. */
class RateProperties {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long VALIDITY_NANOS = 200 * NANOS_PER_MILLI;
    private static final long MARGIN_NANOS = 50 * NANOS_PER_MILLI;

    /** A proxy that spends tokens as fast as it can. */
    private static final class Spender {
        final RateShare share = new RateShare(100 * NANOS_PER_MILLI, 0);
        final String name;

        Spender(String name) {
            this.name = name;
        }
    }

    @Property(tries = 300, seed = "20261204")
    void theFleetNeverAdmitsMoreThanRateAndBurstInAnyWindow(
            @ForAll @IntRange(min = 1, max = 500) int rate,
            @ForAll @IntRange(min = 1, max = 200) int burst,
            @ForAll @IntRange(min = 1, max = 6) int proxies,
            @ForAll long seed) {
        List<Long> admitted = run(rate, burst, proxies, seed, true);
        for (int first = 0; first < admitted.size(); first += 1 + admitted.size() / 200) {
            for (int last = first; last < admitted.size(); last += 1 + admitted.size() / 200) {
                double seconds = (admitted.get(last) - admitted.get(first)) / 1e9;
                double allowed = burst + rate * seconds + 1e-6;
                assertTrue(
                        last - first + 1 <= allowed,
                        (last - first + 1) + " in " + seconds + " s, allowed " + allowed);
            }
        }
    }

    @Property(tries = 100, seed = "20261204")
    void withoutLossAGreedyFleetGetsMostOfItsRate(
            @ForAll @IntRange(min = 50, max = 500) int rate,
            @ForAll @IntRange(min = 1, max = 6) int proxies,
            @ForAll long seed) {
        List<Long> admitted = run(rate, rate, proxies, seed, false);
        double expected = rate * 4.0;
        assertTrue(admitted.size() >= 0.8 * expected, admitted.size() + " of " + expected);
    }

    private static List<Long> run(int rate, int burst, int proxies, long seed, boolean faults) {
        SplittableRandom random = new SplittableRandom(seed);
        RateOwner owner = new RateOwner(rate, burst, MARGIN_NANOS, 1, 0);
        List<Spender> spenders = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            spenders.add(new Spender("proxy-" + i));
        }
        List<Long> admitted = new ArrayList<>();
        for (long now = 0; now < 4000 * NANOS_PER_MILLI; now += NANOS_PER_MILLI) {
            for (Spender spender : spenders) {
                boolean wants = random.nextInt(faults ? 3 : 1) == 0;
                if (wants) {
                    spend(owner, spender, now, random, faults, admitted);
                }
            }
        }
        return admitted;
    }

    private static void spend(
            RateOwner owner,
            Spender spender,
            long now,
            SplittableRandom random,
            boolean faults,
            List<Long> admitted) {
        if (spender.share.tryTake(now)) {
            admitted.add(now);
            return;
        }
        boolean requestLost = faults && random.nextInt(10) == 0;
        List<RateShare.Closed> closed = spender.share.drainClosedGrants(now);
        if (requestLost) {
            return;
        }
        for (RateShare.Closed one : closed) {
            owner.close(spender.name, one.grantId(), one.unused(), now);
        }
        RateOwner.Granted granted =
                owner.grant(spender.name, 1, spender.share.tokensAhead(now), VALIDITY_NANOS, now);
        boolean responseLost = faults && random.nextInt(10) == 0;
        if (granted.tokens() > 0 && !responseLost) {
            spender.share.addGrant(granted.id(), granted.tokens(), now + granted.validNanos());
        }
    }

    @Property(tries = 200, seed = "20261204")
    void aNewOwnerStartsEmpty(
            @ForAll @IntRange(min = 1, max = 1000) int burst,
            @ForAll @LongRange(min = 0, max = 1_000_000_000_000L) long now) {
        RateOwner owner = new RateOwner(1, burst, MARGIN_NANOS, 1, now);
        assertTrue(owner.grant("proxy", burst, 0, VALIDITY_NANOS, now).tokens() == 0);
    }
}
