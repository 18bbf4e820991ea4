package org.chivevale.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.LogEntry;

/**
 * Applies random orders of two operators to one log.
 *
 * <p>Guards against an order that is lost or committed twice, and against an endpoint that gets
 * work after a withdrawal although it has not announced itself again.
 */
class EvacuationChangesProperties {
    private static final List<String> DATA_CENTERS = List.of("a", "b", "c");
    private static final int ENDPOINTS = 6;

    private final Configuration configuration = new Configuration();
    private final Set<String> expected = new TreeSet<>();

    private static EndpointPut announced(int number) {
        return EndpointPut.newBuilder()
                .setEndpointId("i-" + number)
                .setGroupId("db/0")
                .setHost("10.0.0." + number)
                .setPort(80)
                .setDataCenter(DATA_CENTERS.get(number % DATA_CENTERS.size()))
                .build();
    }

    private boolean commit(List<Change> changes) {
        if (changes.isEmpty()) {
            return false;
        }
        configuration.apply(
                LogEntry.newBuilder()
                        .setVersion(configuration.version() + 1)
                        .addAllChanges(changes)
                        .build());
        return true;
    }

    private void announce(int number) {
        commit(List.of(Change.newBuilder().setEndpointPut(announced(number)).build()));
    }

    private void giveOrder(String dataCenter, boolean evacuates, String operator, long unixMillis) {
        boolean committed =
                commit(
                        evacuates
                                ? EvacuationChanges.evacuate(
                                        configuration, dataCenter, operator, unixMillis)
                                : EvacuationChanges.restore(configuration, dataCenter));
        boolean changes = evacuates ? expected.add(dataCenter) : expected.remove(dataCenter);
        assertEquals(changes, committed, "only an order that changes something is committed");
        if (committed && !evacuates) {
            configuration.endpoints().stream()
                    .filter(put -> put.getDataCenter().equals(dataCenter))
                    .forEach(put -> assertTrue(put.getCold(), put.getEndpointId() + " is warm"));
        }
    }

    @Property(tries = 200, seed = "20261205")
    void theOrderOfTheLogDecidesAndRepeatedOrdersCommitNothing(@ForAll long seed) {
        new EvacuationChangesProperties().giveRandomOrders(new Random(seed));
    }

    private void giveRandomOrders(Random random) {
        for (int i = 0; i < ENDPOINTS; i++) {
            announce(i);
        }
        for (int step = 0; step < 60; step++) {
            if (random.nextInt(4) == 0) {
                announce(random.nextInt(ENDPOINTS));
            } else {
                giveOrder(
                        DATA_CENTERS.get(random.nextInt(DATA_CENTERS.size())),
                        random.nextBoolean(),
                        "operator-" + random.nextInt(2),
                        step);
            }
            Configuration copy = new Configuration();
            copy.restore(configuration.snapshot(random.nextBoolean()));
            for (String dataCenter : DATA_CENTERS) {
                boolean evacuated = expected.contains(dataCenter);
                assertEquals(evacuated, configuration.isEvacuated(dataCenter));
                assertEquals(evacuated, copy.isEvacuated(dataCenter), "lost in a snapshot");
            }
        }
    }

    /** Guards against a repeated order that hides who gave it first. */
    @Example
    void aRepeatedOrderKeepsTheFirstOperatorAndTime() {
        giveOrder("a", true, "first", 10);
        giveOrder("a", true, "second", 20);
        assertEquals(
                List.of(new Evacuation("a", "first", 10)),
                List.copyOf(configuration.evacuations()));
    }
}
