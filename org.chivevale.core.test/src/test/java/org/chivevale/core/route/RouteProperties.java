package org.chivevale.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.chivevale.core.group.EndpointId;

class RouteProperties {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final EndpointId PRIMARY = new EndpointId("primary");
    private static final EndpointId REPLICA = new EndpointId("replica");
    private static final EndpointId FAR = new EndpointId("far");

    @Property(tries = 300, seed = "20261204")
    void theStalenessBoundIsNeverBelowTheTrueStaleness(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 200) int spacingMillis) {
        SplittableRandom random = new SplittableRandom(seed);
        PositionHistory history = new PositionHistory(spacingMillis * NANOS_PER_MILLI);
        TreeMap<Long, Long> writes = new TreeMap<>();
        long position = 100;
        for (long now = 0; now < 3000 * NANOS_PER_MILLI; now += NANOS_PER_MILLI) {
            if (random.nextInt(5) == 0) {
                position += 1 + random.nextInt(50);
                writes.put(position, now);
            }
            if (random.nextInt(20) == 0) {
                history.addSample(now - random.nextInt(5) * NANOS_PER_MILLI, position);
            }
            long replica = 100 + random.nextLong(position - 99);
            check(history, writes, replica, now);
        }
    }

    private static void check(
            PositionHistory history, TreeMap<Long, Long> writes, long replica, long now) {
        Long firstMissing = writes.higherKey(replica);
        long trueAge = firstMissing == null ? 0 : now - writes.get(firstMissing);
        long bound = history.ageBoundNanos(replica, now);
        assertTrue(bound < 0 || bound >= trueAge, bound + " below " + trueAge);
        long accepted = 100 * NANOS_PER_MILLI;
        long required = history.requiredPosition(accepted, now);
        if (required >= 0 && replica >= required) {
            assertTrue(trueAge <= accepted, "age " + trueAge + " accepted as " + accepted);
        }
    }

    private static ReadCandidate candidate(
            EndpointId id,
            long position,
            long responseMillis,
            long lagMillis,
            int pendingRequests) {
        return new ReadCandidate(
                id,
                id.equals(PRIMARY),
                position,
                responseMillis * NANOS_PER_MILLI,
                lagMillis * NANOS_PER_MILLI,
                pendingRequests,
                4);
    }

    @Example
    void aReplicaThatHasCaughtUpIsPreferredToThePrimary() {
        ReadChoice choice = choose(100, candidate(REPLICA, 100, 2, 0, 0));
        assertEquals(REPLICA, choice.endpoint());
        assertEquals(0, choice.waitNanos());
    }

    @Example
    void aReplicaThatWillSoonCatchUpIsWaitedFor() {
        ReadChoice choice = choose(101, candidate(REPLICA, 100, 1, 3, 0));
        assertEquals(REPLICA, choice.endpoint());
        assertTrue(choice.waitNanos() > 0);
    }

    @Example
    void aReplicaFarBehindIsNotChosen() {
        assertEquals(PRIMARY, choose(101, candidate(REPLICA, 100, 1, 500, 0)).endpoint());
    }

    @Example
    void theNearestAndLeastLoadedReplicaIsChosen() {
        ReadChoice near =
                choose(1, candidate(REPLICA, 100, 1, 0, 0), candidate(FAR, 100, 12, 0, 0));
        assertEquals(REPLICA, near.endpoint());
        ReadChoice idle =
                choose(1, candidate(REPLICA, 100, 2, 0, 16), candidate(FAR, 100, 2, 0, 0));
        assertEquals(FAR, idle.endpoint());
    }

    private static ReadChoice choose(long required, ReadCandidate... replicas) {
        ReadRouter router = new ReadRouter(5 * NANOS_PER_MILLI, 20 * NANOS_PER_MILLI);
        List<ReadCandidate> all =
                new java.util.ArrayList<>(List.of(candidate(PRIMARY, 200, 1, 0, 0)));
        all.addAll(List.of(replicas));
        return router.choose(
                new ReadRequirement(false, required, 1000 * NANOS_PER_MILLI),
                all,
                1000 * NANOS_PER_MILLI);
    }

    @Property(tries = 300, seed = "20261204")
    void aPrimaryOnlyReadIsNeverSentToAReplica(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ReadRouter router =
                new ReadRouter(
                        random.nextLong(50 * NANOS_PER_MILLI),
                        random.nextLong(50 * NANOS_PER_MILLI));
        List<ReadCandidate> replicas =
                List.of(
                        candidate(REPLICA, random.nextLong(1000), 1, 0, random.nextInt(10)),
                        candidate(FAR, random.nextLong(1000), 1, 0, random.nextInt(10)));
        assertNull(router.choose(new ReadRequirement(true, 0, -1), replicas, 0));
    }
}
