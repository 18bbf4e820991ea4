package org.chivevale.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.account.ClientAccountId;

/** Guards against requests that are lost, served twice or too late, or served in another order. */
class AdmissionOrderTest {
    private static final long MILLI = 1_000_000;
    private static final ClientAccountId SMALL = new ClientAccountId("small");
    private static final ClientAccountId LARGE = new ClientAccountId("large");

    private final AdmissionQueue<String> queue = new AdmissionQueue<>(100);

    private record Use(ClientAccountId idle, int slots, boolean hasFreeSlot) implements PoolUse {
        @Override
        public int inUse(ClientAccountId account) {
            return 0;
        }

        @Override
        public boolean hasIdle(ClientAccountId account) {
            return account.equals(idle);
        }

        @Override
        public int capacity() {
            return slots;
        }
    }

    private static final Use NO_IDLE = new Use(null, 1, false);

    private void add(String item, int priority, ClientAccountId account, long deadlineMillis) {
        queue.add(item, request(priority, account, deadlineMillis), 0, NO_IDLE);
    }

    private static AdmissionRequest request(int priority, ClientAccountId account, long millis) {
        return new AdmissionRequest(priority, account, millis * MILLI);
    }

    private String serve(long nowMillis, PoolUse use) {
        Ticket<String> next = queue.next(nowMillis * MILLI, use);
        queue.take(next, nowMillis * MILLI, use.capacity());
        return next.item();
    }

    @Example
    void classThenAccountThenDeadlineDecide() {
        add("large late", 1, LARGE, 900);
        add("large soon", 1, LARGE, 800);
        add("small", 1, SMALL, 900);
        add("urgent", 0, LARGE, 950);
        List<String> served = new ArrayList<>();
        while (queue.size() > 0) {
            served.add(serve(1, NO_IDLE));
        }
        assertEquals(List.of("urgent", "small", "large soon", "large late"), served);
    }

    @Example
    void requestsOfOneAccountWithEqualTimesAreServedInOrder() {
        for (int i = 0; i < 5; i++) {
            add("" + i, 0, SMALL, 500);
        }
        for (int i = 0; i < 5; i++) {
            assertEquals("" + i, serve(i, NO_IDLE));
        }
    }

    @Example
    void anIdleConnectionGivesPrecedenceInItsClassOnlyAndNotForLong() {
        add("first", 1, SMALL, 2_000);
        add("with idle", 1, LARGE, 2_100);
        add("less urgent", 2, LARGE, 1_000);
        Use idle = new Use(LARGE, 1, false);
        assertEquals("first", queue.next(300 * MILLI, idle).item());
        assertEquals("with idle", serve(10, idle));
        assertEquals("first", serve(10, idle));
    }

    @Example
    void anAgedRequestGetsEveryFourthTurn() {
        for (int i = 0; i < 10; i++) {
            add("urgent", 0, SMALL, 2_000);
        }
        add("aged", 3, LARGE, 1_000);
        List<String> served = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            served.add(serve(600, NO_IDLE));
        }
        assertEquals(List.of("urgent", "urgent", "urgent", "aged"), served);
    }

    /**
     * An account beyond its share in the most urgent class must not keep others from their turn.
     */
    @Example
    void anAgedRequestGetsItsTurnAlsoWhileMoreUrgentOnesAreBeyondTheirShare() {
        long now = 0;
        for (int second = 0; second < 60; second++) {
            now += 1_000 * MILLI;
            queue.recordArrival(request(0, LARGE, now), now, 1);
        }
        for (int i = 0; i < 400; i++) {
            now += MILLI;
            queue.recordArrival(request(0, LARGE, now), now, 1);
            queue.recordServed(request(0, LARGE, now), now);
        }
        long end = now / MILLI + 2_000;
        for (int i = 0; i < 10; i++) {
            queue.add("beyond", request(0, LARGE, end), now, NO_IDLE);
            queue.add("within", request(1, SMALL, end), now, NO_IDLE);
        }
        ClientAccountId other = new ClientAccountId("other");
        queue.add("aged", request(3, other, now / MILLI + 400), now, NO_IDLE);
        List<String> served = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            served.add(serve(now / MILLI + 300, NO_IDLE));
        }
        assertEquals(List.of("within", "within", "within", "aged"), served);
    }

    @Example
    void aRequestThatCannotBeServedInItsTimeIsRejectedAtOnce() {
        for (int i = 0; i < 20; i++) {
            add("waits", 1, SMALL, 5_000);
        }
        assertNull(queue.check(request(1, SMALL, 5_001), 0, NO_IDLE));
        assertNull(queue.check(request(0, SMALL, 100), 0, NO_IDLE));
        assertNull(queue.check(request(1, SMALL, 100), 0, new Use(null, 1, true)));
        assertNull(queue.check(request(1, SMALL, 0), 1, new Use(null, 1, true)));
        TreeSet<Long> retries = new TreeSet<>();
        for (int i = 0; i < 20; i++) {
            Rejection rejection = queue.check(request(2, LARGE, 100), 0, NO_IDLE);
            assertNotNull(rejection);
            assertEquals(Rejection.Reason.WAIT_TOO_LONG, rejection.reason());
            assertTrue(rejection.retryAfterNanos() >= rejection.expectedWaitNanos() - 100 * MILLI);
            retries.add(rejection.retryAfterNanos() / (10 * MILLI));
        }
        assertTrue(retries.size() >= 15, retries.toString());
    }

    @Example
    void aFullQueueGivesUpOnlyLessUrgentRequestsOrThoseOfALargerAccount() {
        for (int i = 0; i < 100; i++) {
            add("large " + i, 1, LARGE, 60_000 + i);
        }
        assertNull(queue.displaceFor(request(1, LARGE, 60_000), 0));
        assertNull(queue.displaceFor(request(2, SMALL, 60_000), 0));
        assertEquals(
                Rejection.Reason.QUEUE_FULL,
                queue.check(request(1, LARGE, 60_000), 0, NO_IDLE).reason());
        assertNull(queue.check(request(1, SMALL, 60_000), 0, NO_IDLE));
        assertEquals("large 99", queue.displaceFor(request(1, SMALL, 60_000), 0).item());
        assertFalse(queue.isFull());
    }

    /** A sender with more connections than slots: few refusals, and slots are hardly ever idle. */
    @Example
    void theSlotLimitFollowsTheSlotsThatAreFree() {
        SlotLimit limit = new SlotLimit();
        int refused = 0;
        int used = 0;
        int offered = 0;
        for (int step = 0; step < 2_000; step++) {
            long now = step * 10 * MILLI;
            int slots = step < 1_000 ? 2 : 5;
            int inFlight = 0;
            while (inFlight < Math.min(30, limit.limit())) {
                if (inFlight == slots) {
                    limit.onBusy(inFlight, now);
                    refused++;
                } else {
                    inFlight++;
                }
            }
            limit.onRun(inFlight - 1, now);
            used += inFlight;
            offered += slots;
        }
        assertTrue(refused <= 201, refused + " refused in 20 s");
        assertTrue(used >= 0.97 * offered, used + " of " + offered);
        assertEquals(Integer.MAX_VALUE, new SlotLimit().limit());
    }

    @Property(tries = 200, seed = "20261204")
    void nothingIsLostServedTwiceOrServedTooLate(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Ticket<String>> tickets = new ArrayList<>();
        HashSet<Ticket<String>> gone = new HashSet<>();
        for (long now = 0; now < 300 * MILLI; now += MILLI) {
            ClientAccountId account = random.nextBoolean() ? SMALL : LARGE;
            AdmissionRequest request =
                    new AdmissionRequest(
                            random.nextInt(3), account, now + random.nextInt(50) * MILLI);
            queue.recordArrival(request, now, 1);
            tickets.add(queue.add("", request, now, NO_IDLE));
            queue.expire(now).forEach(ticket -> assertTrue(gone.add(ticket)));
            Ticket<String> next = queue.next(now, NO_IDLE);
            if (next != null && random.nextInt(3) == 0) {
                assertTrue(next.request().remainingNanos(now) > 0);
                queue.take(next, now, 1);
                assertTrue(gone.add(next));
            }
            Ticket<String> any = tickets.get(random.nextInt(tickets.size()));
            if (random.nextInt(4) == 0) {
                assertEquals(queue.remove(any), gone.add(any));
            }
        }
        queue.clear().forEach(ticket -> assertTrue(gone.add(ticket)));
        assertEquals(tickets.size(), gone.size());
        assertEquals(0, queue.size());
        assertTrue(queue.sizes().isEmpty());
    }
}
