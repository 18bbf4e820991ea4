package org.chivevale.core.rate;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Simulates an outage of the rate's owner. */
class RateFallbackTest {
    private static final long MILLI = 1_000_000;
    private static final double RATE = 95;

    private static int taken(RateFallback fallback, int proxies, int millis, long fromNanos) {
        int taken = 0;
        for (int at = 0; at <= millis; at += 2) {
            if (fallback.tryTake(RATE, proxies, 0, fromNanos, fromNanos + at * MILLI)) {
                taken++;
            }
        }
        return taken;
    }

    @Test
    void allProxiesTogetherStayBelowTheRateWhileCallersAreStillServed() {
        int proxies = 6;
        int all = 0;
        for (int i = 0; i < proxies; i++) {
            all += taken(new RateFallback(), proxies, 2_000, 0);
        }
        assertTrue(all <= 2 * RATE, "took " + all);
        assertTrue(all >= RATE, "took only " + all);
    }

    @Test
    void aProxyWithMostOfTheDemandGoesOnAtTheRateAtWhichItSpent() {
        RateFallback fallback = new RateFallback();
        int taken = 0;
        for (int at = 0; at <= 2_000; at += 2) {
            taken += fallback.tryTake(RATE, 6, 50, 0, at * MILLI) ? 1 : 0;
        }
        assertTrue(taken >= 98 && taken <= 100, "took " + taken);
    }

    @Test
    void aPauseAccumulatesNoMoreThanHalfASecondOfTokens() {
        RateFallback fallback = new RateFallback();
        taken(fallback, 1, 100, 0);
        int burst = 0;
        while (fallback.tryTake(RATE, 1, 0, 0, 60_000 * MILLI)) {
            burst++;
        }
        assertTrue(burst <= RATE / 2);
    }

    @Test
    void eachOutageStartsWithAnEmptyBucket() {
        RateFallback fallback = new RateFallback();
        taken(fallback, 1, 1_000, 0);
        fallback.end();
        assertTrue(!fallback.tryTake(RATE, 1, 0, 90_000 * MILLI, 90_000 * MILLI));
    }
}
