package org.chivevale.consensus;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.chivevale.consensus.store.LogStorage;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.wire.proto.HardState;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;

/** In-memory storage that outlives a simulated restart of its member. */
final class MemoryStorage implements LogStorage {
    private final List<StoredEntry> entries = new ArrayList<>();
    private StoredSnapshot snapshot;
    private HardState hardState;

    /** True while every write fails. */
    boolean isFull;

    /** Writes from now on until one fails; 0 for none that fails. */
    int failsAtWrite;

    /** True once a write has failed. */
    boolean hasFailed;

    MemoryStorage(String storeId) {
        hardState = HardState.newBuilder().setStoreId(storeId).build();
    }

    @Override
    public List<StoredEntry> entries() {
        return Collections.unmodifiableList(entries);
    }

    @Override
    public StoredSnapshot snapshot() {
        return snapshot;
    }

    @Override
    public HardState hardState() {
        return hardState;
    }

    @Override
    public void append(List<StoredEntry> added) {
        requireSpace();
        for (StoredEntry entry : added) {
            entries.removeIf(kept -> kept.getIndex() >= entry.getIndex());
            entries.add(entry);
        }
    }

    @Override
    public void saveHardState(HardState state) {
        requireSpace();
        hardState = state.toBuilder().setStoreId(hardState.getStoreId()).build();
    }

    @Override
    public void adoptStoreId(String storeId) {
        hardState = hardState.toBuilder().setStoreId(storeId).build();
    }

    @Override
    public void saveSnapshot(StoredSnapshot saved) {
        requireSpace();
        boolean continues =
                entries.stream()
                        .anyMatch(
                                entry ->
                                        entry.getIndex() == saved.getIndex()
                                                && entry.getTerm() == saved.getTerm());
        if (!continues) {
            entries.clear();
        }
        entries.removeIf(entry -> entry.getIndex() <= saved.getIndex());
        snapshot = saved;
    }

    private void requireSpace() {
        boolean failsNow = failsAtWrite == 1;
        failsAtWrite = Math.max(0, failsAtWrite - 1);
        if (isFull || failsNow) {
            hasFailed = true;
            throw new ChivevaleException(ResultCode.STORE_FAILED, "no space left");
        }
    }

    @Override
    public void close() {}
}
