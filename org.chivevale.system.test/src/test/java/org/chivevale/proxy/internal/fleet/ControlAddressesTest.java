package org.chivevale.proxy.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.chivevale.core.settings.HostPort;
import org.junit.jupiter.api.Test;

/** Guards against proxies that return to a leader that is frozen, since others still name it. */
class ControlAddressesTest {
    private static final long SECOND_NANOS = 1_000_000_000;
    private static final HostPort FROZEN = new HostPort("10.0.0.1", 7000);
    private static final HostPort SECOND = new HostPort("10.0.0.2", 7000);
    private static final HostPort THIRD = new HostPort("10.0.0.3", 7000);

    private final ControlAddresses addresses = new ControlAddresses(List.of(FROZEN, SECOND, THIRD));

    @Test
    void aSilentLeaderIsNotTriedAgainWhileOthersStillNameIt() {
        addresses.markSilent(FROZEN, 0);
        for (int i = 0; i < 7; i++) {
            addresses.advance();
            addresses.setLeader(FROZEN.toString(), SECOND_NANOS);
            assertFalse(addresses.hasLeader());
            assertNotEquals(FROZEN, addresses.next(SECOND_NANOS));
        }
    }

    @Test
    void anotherLeaderThatIsNamedMeanwhileIsTriedNext() {
        addresses.markSilent(FROZEN, 0);
        addresses.setLeader(THIRD.toString(), SECOND_NANOS);
        assertTrue(addresses.hasLeader());
        assertEquals(THIRD, addresses.next(SECOND_NANOS));
    }

    @Test
    void aLeaderThatRespondsAgainIsTriedAfterSomeTime() {
        addresses.markSilent(FROZEN, 0);
        addresses.setLeader(FROZEN.toString(), 2 * SECOND_NANOS);
        assertEquals(FROZEN, addresses.next(2 * SECOND_NANOS));
    }

    @Test
    void theOnlyAddressIsTriedThoughItIsSilent() {
        ControlAddresses only = new ControlAddresses(List.of(FROZEN));
        only.markSilent(FROZEN, 0);
        assertEquals(FROZEN, only.next(1));
    }
}
