package org.chivevale.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.ConfigurationSnapshot;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.EndpointRemoved;
import org.chivevale.wire.proto.LogEntry;
import org.junit.jupiter.api.Test;

/**
 * Guards against a configuration that forgets which incarnations have left, also through a
 * snapshot, and against a list of them without a bound.
 */
class RemovedEndpointsTest {
    private static final GroupId GROUP = new GroupId("orders", 0);

    private final Configuration configuration = new Configuration();

    private void commit(Change.Builder change) {
        configuration.apply(
                LogEntry.newBuilder()
                        .setVersion(configuration.version() + 1)
                        .addChanges(change)
                        .build());
    }

    private void put(String endpoint, long incarnation) {
        commit(
                Change.newBuilder()
                        .setEndpointPut(
                                EndpointPut.newBuilder()
                                        .setEndpointId(endpoint)
                                        .setGroupId(GROUP.toString())
                                        .setIncarnation(incarnation)));
    }

    private void remove(String endpoint, long incarnation) {
        commit(
                Change.newBuilder()
                        .setEndpointRemoved(
                                EndpointRemoved.newBuilder()
                                        .setEndpointId(endpoint)
                                        .setGroupId(GROUP.toString())
                                        .setIncarnation(incarnation)));
    }

    private static boolean hasLeft(Configuration from, String endpoint, long incarnation) {
        return from.hasLeft(GROUP, new EndpointId(endpoint), incarnation);
    }

    private Configuration restored() {
        Configuration copy = new Configuration();
        copy.restore(configuration.snapshot(false));
        assertEquals(configuration.snapshot(false), copy.snapshot(false));
        return copy;
    }

    @Test
    void anIncarnationThatLeftIsKnownUntilALaterOneRegisters() {
        put("e-1", 5);
        remove("e-1", 5);
        for (Configuration known : List.of(configuration, restored())) {
            assertTrue(hasLeft(known, "e-1", 5));
            assertTrue(hasLeft(known, "e-1", 4));
            assertFalse(hasLeft(known, "e-1", 6));
            assertFalse(hasLeft(known, "e-2", 5));
        }
        put("e-1", 6);
        assertFalse(hasLeft(configuration, "e-1", 6));
    }

    @Test
    void aRemovalThatAnEarlierBuildWroteTakesTheRegisteredIncarnation() {
        put("e-1", 5);
        remove("e-1", 0);
        remove("e-2", 0);
        assertTrue(hasLeft(restored(), "e-1", 5));
        assertFalse(hasLeft(restored(), "e-2", 0));
    }

    @Test
    void aSnapshotOfAnEarlierBuildLoads() {
        remove("e-1", 5);
        ConfigurationSnapshot.Builder earlier = configuration.snapshot(false).toBuilder();
        for (int i = earlier.getChangesCount() - 1; i >= 0; i--) {
            if (earlier.getChanges(i).hasEndpointRemoved()) {
                earlier.removeChanges(i);
            }
        }
        configuration.restore(earlier.build());
        assertFalse(hasLeft(configuration, "e-1", 5));
    }

    @Test
    void theLatestThousandAreKept() {
        for (int i = 1; i <= 1001; i++) {
            remove("e-" + i, 5);
        }
        remove("e-2", 6);
        remove("e-1002", 5);
        Configuration copy = restored();
        assertFalse(hasLeft(copy, "e-1", 5));
        assertTrue(hasLeft(copy, "e-2", 6));
        assertFalse(hasLeft(copy, "e-3", 5));
        assertTrue(hasLeft(copy, "e-4", 5));
    }
}
