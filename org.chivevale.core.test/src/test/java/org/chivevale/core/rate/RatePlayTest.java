package org.chivevale.core.rate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What callers of one account get of its rate, over few and many proxies. */
class RatePlayTest {
    private static final int MILLIS = 30_000;
    private static final int SECONDS = MILLIS / 1000;
    private static final int FAR_MILLIS = 26;
    private static final int WINDOW_MILLIS = 5_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aSmallAccountBehindManyProxiesIsNotRefusedBelowItsRate(long seed) {
        RatePlay play = new RatePlay(seed, 64, 12, 12, 0.6 * 12, FAR_MILLIS).run(MILLIS);
        assertEquals(0, play.refused());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aLargeAccountBehindManyProxiesIsNotRefusedBelowItsRate(long seed) {
        RatePlay play = new RatePlay(seed, 64, 120, 120, 0.9 * 120, FAR_MILLIS).run(MILLIS);
        assertEquals(0, play.refused());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void anAccountBehindFewProxiesIsNotRefusedBelowItsRate(long seed) {
        RatePlay play = new RatePlay(seed, 6, 95, 95, 0.9 * 95, FAR_MILLIS).run(MILLIS);
        assertEquals(0, play.refused());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void mostRequestsNeedNotWaitForTheOwnerWhereTokensAreAmple(long seed) {
        RatePlay play = new RatePlay(seed, 9, 95, 95, 45, FAR_MILLIS).run(MILLIS);
        assertEquals(0, play.refused());
        assertTrue(play.servedAtOnce() >= 0.6 * play.served(), play.servedAtOnce() + " at once");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void anAccountAboveItsRateGetsItsRateAndNoMore(long seed) {
        RatePlay play = new RatePlay(seed, 64, 12, 12, 4 * 12, FAR_MILLIS).run(MILLIS);
        int allowed = 12 * WINDOW_MILLIS / 1000 + 12;
        assertTrue(play.mostServedWithin(WINDOW_MILLIS) <= allowed);
        assertTrue(play.served() >= 0.9 * 12 * SECONDS, "served " + play.served());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aProxyThatSeesFewRequestsAsksOnlyForThese(long seed) {
        RatePlay play = new RatePlay(seed, 64, 12, 12, 6, FAR_MILLIS).run(MILLIS);
        assertTrue(play.messages() <= 3 * play.served(), play.messages() + " messages");
    }
}
