package org.chivevale.core.rate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;

/**
 * Guards against a second in which a cold endpoint receives more requests than it may, while
 * proxies freeze, restart and lose messages and the leader changes; and against a limit that holds
 * because nothing is sent.
 */
class WarmupSimulationTest {
    private static final long MILLI = WarmupSimulation.MILLI;
    private static final WarmupTarget TARGET =
            new WarmupTarget(new GroupId("orders", 0), new EndpointId("e-1"));
    private static final double[] RATES = {0.5, 3, 10, 60, 200};
    private static final WarmupLimit LIMIT = new WarmupLimit(10, 1.5, 5);

    @Property(tries = 60, seed = "20261204")
    void noSecondExceedsTheBoundWhateverFails(@ForAll long seed) {
        Random random = new Random(seed);
        double rate = RATES[random.nextInt(RATES.length)];
        boolean tight = random.nextInt(3) == 0;
        WarmupLimit limit = tight ? new WarmupLimit(rate, 1, 1) : new WarmupLimit(rate, 1.5, 5);
        int proxies = 1 + random.nextInt(60);
        WarmupSimulation simulation = new WarmupSimulation(seed, proxies, limit, true);
        simulation.run(20_000, 4 * rate / proxies + random.nextInt(10));
        assertTrue(
                simulation.mostPerSecond() <= limit.bound(),
                () -> simulation.mostPerSecond() + " in a second, bound " + limit.bound());
    }

    @Property(tries = 20, seed = "20261204")
    void mostOfTheRateIsUsedWhileNothingFails(@ForAll long seed) {
        Random random = new Random(seed);
        double rate = RATES[1 + random.nextInt(RATES.length - 1)];
        int proxies = 1 + random.nextInt(60);
        WarmupSimulation simulation =
                new WarmupSimulation(seed, proxies, new WarmupLimit(rate, 1.5, 5), false);
        simulation.run(20_000, 2 * rate / proxies + 5);
        assertTrue(
                simulation.sent() >= 0.6 * rate * 20,
                () -> simulation.sent() + " sent with rate " + rate);
        assertTrue(simulation.mostPerSecond() <= rate * 1.5 + 5);
    }

    /** Guards against tokens in advance, which would let a burst through to a cold endpoint. */
    @Example
    void anOwnerGrantsOnlyWhatHasAccruedSinceEarlierGrantsExpired() {
        WarmupOwner owner = new WarmupOwner(LIMIT, 300 * MILLI, 10 * MILLI, 310 * MILLI);
        assertEquals(0, owner.grant(5, 0));
        assertEquals(0, owner.grant(5, 310 * MILLI));
        assertEquals(1, owner.grant(5, 410 * MILLI));
        assertEquals(0, owner.grant(5, 411 * MILLI));
        assertEquals(1, owner.grant(5, 10_000 * MILLI));
        assertFalse(owner.isIdle(11_309 * MILLI));
        assertTrue(owner.isIdle(11_310 * MILLI));
    }

    /** Guards against grants under an earlier, higher rate that add to those under a lower one. */
    @Example
    void aLowerRateCountsTheGrantsOfTheHigherOne() {
        WarmupOwner owner =
                new WarmupOwner(new WarmupLimit(100, 1.5, 5), 300 * MILLI, 10 * MILLI, 0);
        int granted = 0;
        for (int i = 1; i <= 10; i++) {
            granted += owner.grant(100, i * 100 * MILLI);
        }
        assertTrue(granted > 20);
        owner.updateLimit(new WarmupLimit(10, 1, 1), 1000 * MILLI);
        assertEquals(0, owner.grant(1, 1100 * MILLI));
    }

    /** Guards against a proxy that spends after a freeze what it was granted before. */
    @Example
    void anExpiredTokenIsNotSpent() {
        WarmupTokens tokens = new WarmupTokens();
        tokens.want(TARGET, "statement", 0);
        assertEquals(1, tokens.takeWants(0).get(0).tokens());
        tokens.addGrant(TARGET, 2, 300 * MILLI, 20 * MILLI);
        assertTrue(tokens.trySpend(TARGET, 299 * MILLI));
        assertFalse(tokens.trySpend(TARGET, 300 * MILLI));
        tokens.addGrant(TARGET, 1, 600 * MILLI, 700 * MILLI);
        assertFalse(tokens.isAvailable(TARGET, 700 * MILLI));
    }

    /** Guards against a proxy that asks the leader again and again for one waiting statement. */
    @Example
    void aStatementIsRequestedOnceAndAgainAfterAGrowingPause() {
        WarmupTokens tokens = new WarmupTokens();
        int requests = 0;
        for (int millis = 0; millis < 2000; millis++) {
            tokens.want(TARGET, "statement", millis * MILLI);
            for (WarmupTokens.Want want : tokens.takeWants(millis * MILLI)) {
                assertEquals(1, want.tokens());
                requests++;
            }
        }
        assertTrue(requests >= 10 && requests <= 14, requests + " requests");
        tokens.retain(target -> false);
        assertFalse(tokens.hasWants());
    }

    /** Guards against a restarted endpoint that counts as warm until it has announced itself. */
    @Example
    void anEndpointThatRefusedConnectionsCountsAsColdUntilItsAnnouncementIsDue() {
        RestartWatch watch = new RestartWatch(3000 * MILLI);
        watch.onReply(TARGET, 0);
        assertFalse(watch.isPresumedCold(TARGET, 0));
        watch.onRefused(TARGET, 7);
        assertTrue(watch.isPresumedCold(TARGET, 60_000 * MILLI));
        watch.onMembersChanged(target -> 7);
        watch.onReply(TARGET, 60_000 * MILLI);
        watch.onReply(TARGET, 62_000 * MILLI);
        assertTrue(watch.isPresumedCold(TARGET, 62_999 * MILLI));
        assertFalse(watch.isPresumedCold(TARGET, 63_000 * MILLI));
        watch.onRefused(TARGET, 7);
        watch.onMembersChanged(target -> 8);
        assertFalse(watch.isPresumedCold(TARGET, 64_000 * MILLI));
        assertTrue(watch.isEmpty());
    }
}
