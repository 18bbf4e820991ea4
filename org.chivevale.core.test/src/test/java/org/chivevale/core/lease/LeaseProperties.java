package org.chivevale.core.lease;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class LeaseProperties {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long LEASE_NANOS = 1000 * NANOS_PER_MILLI;
    private static final int DRIFT_PPM = 5000;
    private static final long MARGIN_NANOS = 20 * NANOS_PER_MILLI;
    private static final long DEFAULT_LEASE_NANOS = 2500 * NANOS_PER_MILLI;
    private static final long DEFAULT_MARGIN_NANOS = 100 * NANOS_PER_MILLI;

    /** Converts the grantor's time to the holder's clock, which drifts within the bound. */
    private static long holderNanos(long trueNanos, int ppm) {
        return trueNanos + trueNanos / 1_000_000 * ppm;
    }

    @Property(tries = 500, seed = "20261204")
    void noHolderActsOnAnOlderVersionOnceItCountsAsInForce(
            @ForAll long seed, @ForAll @IntRange(min = -2500, max = 2500) int ppm) {
        SplittableRandom random = new SplittableRandom(seed);
        LeaseGrantor grantor = new LeaseGrantor(LEASE_NANOS, DRIFT_PPM, 0);
        LeaseHolder holder = new LeaseHolder(MARGIN_NANOS);
        long version = 1;
        long held = 0;
        for (long now = 0; now < 20_000 * NANOS_PER_MILLI; now += 10 * NANOS_PER_MILLI) {
            if (random.nextInt(100) == 0) {
                version++;
            }
            if (random.nextInt(20) == 0) {
                long requestedAtNanos = holderNanos(now, ppm);
                boolean requestLost = random.nextInt(4) == 0;
                boolean responseLost = random.nextInt(4) == 0;
                if (!requestLost) {
                    long granted = grantor.grant("proxy", held, now);
                    if (!responseLost) {
                        held = version;
                        holder.onGranted(requestedAtNanos, granted);
                    }
                }
            }
            boolean acts = holder.isValid(holderNanos(now, ppm));
            for (long checked = held + 1; checked <= version; checked++) {
                assertFalse(acts && grantor.isInForce(checked, now), "version " + checked);
            }
        }
    }

    /** Requests and responses are lost or late by seconds; answers may be applied after a pause. */
    @Property(tries = 500, seed = "20261206")
    void aCommittedVersionIsNotIgnoredForLongerThanTheDefaultLease(
            @ForAll long seed, @ForAll @IntRange(min = -500, max = 500) int ppm) {
        SplittableRandom random = new SplittableRandom(seed);
        LeaseGrantor grantor = new LeaseGrantor(DEFAULT_LEASE_NANOS, 1000, 0);
        LeaseHolder holder = new LeaseHolder(DEFAULT_MARGIN_NANOS);
        long committed = 1;
        long committedAtNanos = 0;
        long held = 0;
        Answer pending = null;
        for (long now = 0; now < 30_000 * NANOS_PER_MILLI; now += 10 * NANOS_PER_MILLI) {
            if (committed <= held && random.nextInt(50) == 0) {
                committed++;
                committedAtNanos = now;
            }
            if (pending == null && random.nextInt(10) == 0) {
                long granted = grantor.grant("proxy", held, now);
                long lateNanos = random.nextInt(3_000) * NANOS_PER_MILLI;
                pending = new Answer(holderNanos(now, ppm), now + lateNanos, committed, granted);
            }
            if (pending != null && now >= pending.appliedAtNanos()) {
                held = pending.version();
                holder.onGranted(pending.sentAtNanos(), pending.grantedNanos());
                pending = null;
            }
            boolean actsOnOlder = held < committed && holder.isValid(holderNanos(now, ppm));
            long sinceNanos = now - committedAtNanos;
            assertFalse(actsOnOlder && sinceNanos > DEFAULT_LEASE_NANOS, "after " + sinceNanos);
        }
    }

    private record Answer(long sentAtNanos, long appliedAtNanos, long version, long grantedNanos) {}

    @Property(tries = 200, seed = "20261204")
    void aSilentHolderDelaysAVersionByNoMoreThanTheLongestLease(@ForAll long seed) {
        long start = new SplittableRandom(seed).nextLong(1L << 40);
        LeaseGrantor grantor = new LeaseGrantor(LEASE_NANOS, DRIFT_PPM, start);
        grantor.grant("silent", 1, start);
        grantor.grant("alive", 2, start);
        long longest = LEASE_NANOS + LEASE_NANOS / 1_000_000 * DRIFT_PPM;
        assertFalse(grantor.isInForce(2, start + longest - NANOS_PER_MILLI));
        assertTrue(grantor.findHoldersBehind(2, start).contains("silent"));
        assertTrue(grantor.isInForce(2, start + longest));
    }
}
