package org.chivevale.control.internal.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.List;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.DesiredStored;
import org.chivevale.wire.proto.LogEntry;
import org.junit.jupiter.api.Test;

/** Entries for a proxy that is behind, too many for one frame or for the memory of control. */
class ControlStateTest {
    private static final int MEGABYTE = 1 << 20;

    @Test
    void theEntriesForAProxyThatIsFarBehindFitInAFrame() {
        ControlState state = new ControlState();
        for (int version = 1; version <= 40; version++) {
            state.apply(version, entry(version).toByteArray());
        }
        assertNull(state.entriesAfter(1));
        List<LogEntry> last = state.entriesAfter(38);
        assertEquals(List.of(entry(39), entry(40)), last);
        assertTrue(
                state.history().stream().mapToLong(LogEntry::getSerializedSize).sum()
                        < 8 * MEGABYTE);
    }

    private static LogEntry entry(int version) {
        DesiredStored.Builder stored =
                DesiredStored.newBuilder()
                        .setVersion(version)
                        .setSource(ByteString.copyFrom(new byte[MEGABYTE]));
        return LogEntry.newBuilder()
                .setVersion(version)
                .addChanges(Change.newBuilder().setDesiredStored(stored))
                .build();
    }
}
