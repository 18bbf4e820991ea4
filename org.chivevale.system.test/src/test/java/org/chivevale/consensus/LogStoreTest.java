package org.chivevale.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.chivevale.consensus.store.LogStore;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.wire.proto.HardState;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the data folder keeps synced writes over a restart and reports corruption. */
class LogStoreTest {
    @TempDir private Path folder;

    private static StoredEntry entry(long index, String payload) {
        return StoredEntry.newBuilder()
                .setIndex(index)
                .setTerm(1)
                .setPayload(ByteString.copyFromUtf8(payload))
                .build();
    }

    private LogStore storeWithEntries(int count) {
        LogStore store = LogStore.open(folder);
        for (int i = 1; i <= count; i++) {
            store.append(List.of(entry(i, "payload " + i)));
        }
        return store;
    }

    @Test
    void appendedEntriesAndVoteSurviveARestart() {
        LogStore store = storeWithEntries(5);
        store.saveHardState(HardState.newBuilder().setTerm(7).setVotedFor("b").build());
        String id = store.hardState().getStoreId();
        List<StoredEntry> written = store.entries();
        store.close();
        try (LogStore reopened = LogStore.open(folder)) {
            assertEquals(written, reopened.entries());
            assertEquals(7, reopened.hardState().getTerm());
            assertEquals(id, reopened.hardState().getStoreId());
        }
    }

    @Test
    void anAppendedEntryReplacesThoseFromItsIndexOn() {
        LogStore store = storeWithEntries(5);
        store.append(List.of(entry(3, "other")));
        store.close();
        try (LogStore reopened = LogStore.open(folder)) {
            assertEquals(3, reopened.entries().size());
            assertEquals("other", reopened.entries().get(2).getPayload().toStringUtf8());
        }
    }

    @Test
    void aSnapshotDropsTheEntriesThatItCovers() {
        LogStore store = storeWithEntries(10);
        store.saveSnapshot(
                StoredSnapshot.newBuilder()
                        .setIndex(8)
                        .setTerm(1)
                        .setState(ByteString.copyFromUtf8("state"))
                        .build());
        store.append(List.of(entry(11, "after")));
        store.close();
        try (LogStore reopened = LogStore.open(folder)) {
            assertEquals(8, reopened.snapshot().getIndex());
            assertArrayEquals(
                    new long[] {9, 10, 11},
                    reopened.entries().stream().mapToLong(StoredEntry::getIndex).toArray());
        }
    }

    @Test
    void aTailTornAtAnyByteIsTruncated() throws IOException {
        storeWithEntries(3).close();
        byte[] whole = Files.readAllBytes(folder.resolve("log"));
        LogStore two = LogStore.open(folder);
        two.close();
        for (int cut = 1; cut < 20; cut++) {
            Files.write(folder.resolve("log"), Arrays.copyOf(whole, whole.length - cut));
            try (LogStore reopened = LogStore.open(folder)) {
                assertEquals(2, reopened.entries().size(), "cut by " + cut);
            }
        }
    }

    @Test
    void corruptionBeforeTheTailIsReportedWithFileAndOffset() throws IOException {
        storeWithEntries(5).close();
        Path log = folder.resolve("log");
        long middle = Files.size(log) / 2;
        try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "rw")) {
            file.seek(middle);
            int old = file.read();
            file.seek(middle);
            file.write(old ^ 0x55);
        }
        ChivevaleException error =
                assertThrows(ChivevaleException.class, () -> LogStore.open(folder));
        assertEquals(ResultCode.STORE_DAMAGED, error.code());
        assertTrue(error.getMessage().contains(log + " at offset "), error.getMessage());
    }

    @Test
    void aSecondProcessCannotOpenTheFolder() {
        try (LogStore store = storeWithEntries(1)) {
            ChivevaleException error =
                    assertThrows(ChivevaleException.class, () -> LogStore.open(folder));
            assertEquals(ResultCode.STORE_LOCKED, error.code());
            assertEquals(1, store.entries().size());
        }
    }
}
