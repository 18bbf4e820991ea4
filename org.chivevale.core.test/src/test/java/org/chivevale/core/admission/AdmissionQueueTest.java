package org.chivevale.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.chivevale.core.admission.EndpointSimulation.Discipline;
import org.chivevale.core.admission.EndpointSimulation.Request;
import org.junit.jupiter.api.Test;

/**
 * Plays an endpoint's load against its queue. Guards against a burst of one kind, or one account,
 * that takes the answers in time from all others.
 */
class AdmissionQueueTest {
    private static final int SEEDS = 12;
    private static final int SECONDS = 30;
    private static final double USUAL_UTILIZATION = 0.65;

    /** The order that the queue replaced: first come, first served, within the remaining time. */
    private static final class FirstComeFirstServed implements Discipline {
        private static final int MAX_WAITING = 400;
        private static final long IDLE_PREFERENCE_NANOS = 250 * EndpointSimulation.MILLI;
        private final Deque<Request> waiting = new ArrayDeque<>();

        @Override
        public boolean arrive(Request request, long now, EndpointSimulation endpoint) {
            return waiting.size() < MAX_WAITING && waiting.add(request);
        }

        @Override
        public Request next(long now, EndpointSimulation endpoint) {
            waiting.removeIf(request -> request.deadlineNanos <= now);
            Request next = waiting.peekFirst();
            if (next != null && now - next.arrivalNanos < IDLE_PREFERENCE_NANOS) {
                next =
                        waiting.stream()
                                .limit(64)
                                .filter(request -> endpoint.hasIdle(request.account))
                                .findFirst()
                                .orElse(next);
            }
            waiting.remove(next);
            return next;
        }
    }

    private static final class Ordered implements Discipline {
        private final AdmissionQueue<Request> queue = new AdmissionQueue<>(400);

        @Override
        public boolean arrive(Request request, long now, EndpointSimulation endpoint) {
            queue.expire(now);
            queue.recordArrival(request.admission(), now, endpoint.capacity());
            if (queue.check(request.admission(), now, endpoint) != null) {
                return false;
            }
            queue.displaceFor(request.admission(), now);
            queue.add(request, request.admission(), now, endpoint);
            return true;
        }

        @Override
        public Request next(long now, EndpointSimulation endpoint) {
            queue.expire(now);
            Ticket<Request> next = queue.next(now, endpoint);
            if (next == null) {
                return null;
            }
            queue.take(next, now, endpoint.capacity());
            return next.item();
        }
    }

    /** Queues one of the requests that would be rejected, to see whether that was right. */
    private static final class OneKept implements Discipline {
        private final Ordered ordered = new Ordered();
        private final int keptNumber;
        private int rejected;
        private Request kept;

        OneKept(int keptNumber) {
            this.keptNumber = keptNumber;
        }

        @Override
        public boolean arrive(Request request, long now, EndpointSimulation endpoint) {
            if (ordered.arrive(request, now, endpoint)) {
                return true;
            }
            if (rejected++ != keptNumber) {
                return false;
            }
            kept = request;
            ordered.queue.add(request, request.admission(), now, endpoint);
            return true;
        }

        @Override
        public Request next(long now, EndpointSimulation endpoint) {
            return ordered.next(now, endpoint);
        }
    }

    private static double share(
            List<Request> requests, Predicate<Request> of, Predicate<Request> what) {
        List<Request> all = requests.stream().filter(of).toList();
        return (double) all.stream().filter(what).count() / all.size();
    }

    private static List<Request> play(long seed, List<Request> requests, Discipline discipline) {
        new EndpointSimulation(seed).run(requests, discipline);
        return requests;
    }

    private static Load load(long seed, double utilization) {
        return new Load(seed, new EndpointSimulation(seed).slots(), utilization);
    }

    private static double mostUrgentInTimeInBurst(long seed, Discipline order) {
        List<Request> requests =
                play(seed, load(seed, USUAL_UTILIZATION).burst(SECONDS, 2.5), order);
        return share(requests, request -> request.priority == 0, Request::inTime);
    }

    private static double othersLossInSurge(
            long seed, double factor, int onlyClass, Supplier<Discipline> order) {
        Load load = load(seed, USUAL_UTILIZATION);
        Predicate<Request> others = request -> !request.account.equals(Load.LARGEST);
        List<Request> usual = play(seed, load.usual(SECONDS), order.get());
        List<Request> surge = play(seed, load.surge(SECONDS, factor, onlyClass), order.get());
        return share(usual, others, Request::inTime) - share(surge, others, Request::inTime);
    }

    @Test
    void aBurstOfTheLeastUrgentKindLeavesTheMostUrgentInTime() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            double inTime = mostUrgentInTimeInBurst(seed, new Ordered());
            assertTrue(inTime >= 0.98, "seed " + seed + ": " + inTime);
        }
    }

    @Test
    void oneAccountAtAMultipleOfItsLoadLeavesTheOthersInTime() {
        for (double factor : new double[] {4, 5.5, 7}) {
            assertOthersKeepTheirTime(factor, -1);
        }
    }

    /** Class goes before account, so the account's share must bound its urgent requests too. */
    @Test
    void oneAccountWithManyUrgentRequestsLeavesTheOthersInTime() {
        for (double factor : new double[] {4, 7}) {
            assertOthersKeepTheirTime(factor, 0);
        }
    }

    private static void assertOthersKeepTheirTime(double factor, int onlyClass) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            double loss = othersLossInSurge(seed, factor, onlyClass, Ordered::new);
            assertTrue(loss <= 0.02, "seed " + seed + ", factor " + factor + ": " + loss);
        }
    }

    /** A load that any order can serve would show nothing. */
    @Test
    void theseLoadsAreTooMuchForFirstComeFirstServed() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            double inTime = mostUrgentInTimeInBurst(seed, new FirstComeFirstServed());
            assertTrue(inTime < 0.98, "seed " + seed + ": " + inTime);
            double loss = othersLossInSurge(seed, 7, -1, FirstComeFirstServed::new);
            assertTrue(loss > 0.02, "seed " + seed + ": " + loss);
        }
    }

    @Test
    void theLowestClassIsServedWhileThereIsRoomInTotal() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            List<Request> requests = play(seed, load(seed, 0.7).usual(SECONDS), new Ordered());
            long unserved = requests.stream().filter(request -> request.endNanos < 0).count();
            assertEquals(0, unserved, "seed " + seed);
        }
    }

    @Test
    void hardlyAnyRejectedRequestCouldHaveBeenServedInTime() {
        int tried = 0;
        int inTime = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            OneKept none = new OneKept(-1);
            play(seed, surgeOf(seed), none);
            for (int i = 0; i < none.rejected; i += 1 + none.rejected / 12) {
                OneKept one = new OneKept(i);
                play(seed, surgeOf(seed), one);
                tried++;
                inTime += one.kept.inTime() ? 1 : 0;
            }
        }
        assertTrue(tried >= 100, tried + " tried");
        assertTrue(inTime <= 0.05 * tried, inTime + " of " + tried);
    }

    private static List<Request> surgeOf(long seed) {
        return load(seed, USUAL_UTILIZATION).surge(15, 7);
    }
}
