package org.chivevale.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.EvacuationChanges;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.DatabasePut;
import org.chivevale.wire.proto.EndpointMember;
import org.chivevale.wire.proto.GroupState;
import org.chivevale.wire.proto.LogEntry;

/**
 * Compares the decision on endpoints with a model, over random orders and lists of members.
 *
 * <p>Guards against a request to an endpoint in an evacuated data centre, against one to a cold
 * endpoint without a warm-up rate, and against requests that wait although no member can serve.
 */
class EndpointAvailabilityProperties {
    private static final GroupId GROUP = new GroupId("db", 0);
    private static final EndpointId FIRST = new EndpointId("i-0");
    private static final List<String> DATA_CENTERS = List.of("a", "b", "c");
    private static final long MILLI = 1_000_000;

    private final Configuration configuration = new Configuration();
    private final EndpointAvailability availability = new EndpointAvailability(configuration);
    private final List<EndpointMember> members = new ArrayList<>();

    private void commit(List<Change> changes, long nowNanos) {
        if (!changes.isEmpty()) {
            configuration.apply(
                    LogEntry.newBuilder()
                            .setVersion(configuration.version() + 1)
                            .addAllChanges(changes)
                            .build());
        }
        availability.onConfigurationChange(nowNanos);
    }

    private void configure(double warmupRate) {
        commit(
                List.of(
                        Change.newBuilder()
                                .setDatabasePut(
                                        DatabasePut.newBuilder()
                                                .setDatabase("db")
                                                .setSlots(1)
                                                .setWarmupRatePerSecond(warmupRate))
                                .build(),
                        Change.newBuilder()
                                .setGroupState(
                                        GroupState.newBuilder()
                                                .setGroupId(GROUP.toString())
                                                .setTerm(1)
                                                .setPrimaryEndpointId(FIRST.value())
                                                .setPrimaryHost("10.0.0.1")
                                                .setPrimaryPort(80))
                                .build()),
                0);
    }

    private static EndpointMember member(int number, String dataCenter, boolean cold) {
        return EndpointMember.newBuilder()
                .setEndpointId("i-" + number)
                .setGroupId(GROUP.toString())
                .setDataCenter(dataCenter)
                .setCold(cold)
                .build();
    }

    private void list(EndpointMember... newest) {
        members.clear();
        members.addAll(List.of(newest));
        availability.setMembers(members);
    }

    private void evacuate(String dataCenter, long nowNanos) {
        commit(EvacuationChanges.evacuate(configuration, dataCenter, "op", 1), nowNanos);
    }

    private void restore(String dataCenter, long nowNanos) {
        commit(EvacuationChanges.restore(configuration, dataCenter), nowNanos);
    }

    @Property(tries = 300, seed = "20261205")
    void onlyOpenEndpointsGetWorkAndTransactionsEndInTime(@ForAll long seed) {
        new EndpointAvailabilityProperties().giveRandomOrders(new Random(seed));
    }

    private void giveRandomOrders(Random random) {
        double rate = random.nextInt(2) * 10;
        configure(rate);
        Map<String, Long> since = new HashMap<>();
        long now = 0;
        for (int step = 0; step < 60; step++) {
            now += random.nextInt(1500) * MILLI;
            String dataCenter = DATA_CENTERS.get(random.nextInt(DATA_CENTERS.size()));
            if (random.nextBoolean()) {
                evacuate(dataCenter, now);
                since.putIfAbsent(dataCenter, now);
            } else {
                restore(dataCenter, now);
                since.remove(dataCenter);
            }
            list(
                    member(0, "a", random.nextInt(4) == 0),
                    member(1, "b", random.nextInt(4) == 0),
                    member(2, "c", random.nextInt(4) == 0));
            boolean anyOutside = false;
            for (EndpointMember member : members) {
                EndpointId endpoint = new EndpointId(member.getEndpointId());
                Long evacuatedAt = since.get(member.getDataCenter());
                boolean excludedAsCold = member.getCold() && rate == 0;
                boolean open = evacuatedAt == null && !excludedAsCold;
                assertEquals(open, availability.isOpen(GROUP, endpoint));
                assertEquals(open, availability.reason(GROUP, endpoint).isEmpty());
                boolean mayContinue =
                        evacuatedAt == null ? !excludedAsCold : now - evacuatedAt < 2_000 * MILLI;
                assertEquals(mayContinue, availability.mayContinue(GROUP, endpoint, now));
                anyOutside |= evacuatedAt == null;
            }
            assertEquals(anyOutside, availability.rejection(GROUP, members) == null);
        }
    }

    /**
     * Guards against a primary that gets writes because a new leader of control, which endpoints
     * have not reached yet, lists no members.
     */
    @Example
    void aPrimaryThatIsNotListedKeepsItsDataCenter() {
        configure(0);
        list(member(0, "a", false), member(1, "b", false));
        evacuate("a", 0);
        list();
        assertFalse(availability.isOpen(GROUP, FIRST));
        restore("a", 1);
        assertTrue(availability.isOpen(GROUP, FIRST));
    }

    /** The same for a proxy that has started since and never saw the primary. */
    @Example
    void aPrimaryOfUnknownPlaceGetsNoWorkDuringAnEvacuation() {
        configure(0);
        assertTrue(availability.isOpen(GROUP, FIRST));
        evacuate("b", 0);
        assertFalse(availability.isOpen(GROUP, FIRST));
        assertTrue(availability.mayContinue(GROUP, FIRST, 1_999 * MILLI));
        assertFalse(availability.mayContinue(GROUP, FIRST, 2_000 * MILLI));
        assertNull(availability.rejection(GROUP, members), "it may be announced soon");
        restore("b", 0);
        assertTrue(availability.isOpen(GROUP, FIRST));
    }

    /** A member that is about to stop cannot become the primary, so nothing waits for it. */
    @Example
    void aLeavingMemberIsNoReasonToWait() {
        configure(0);
        list(member(0, "a", false), member(1, "b", false).toBuilder().setLeaving(true).build());
        assertNull(availability.rejection(GROUP, members));
        evacuate("a", 0);
        String reason = availability.rejection(GROUP, members);
        assertNotNull(reason);
        assertTrue(reason.contains("evacuated data centres a"), reason);
    }
}
