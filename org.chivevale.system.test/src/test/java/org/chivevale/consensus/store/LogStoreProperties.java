package org.chivevale.consensus.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.wire.proto.HardState;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;

/**
 * Guards against a log that is damaged by a disk which refuses any single write, truncation, sync,
 * replacement or deletion, or several in a row: entries that no longer fit the snapshot, entries
 * that are lost after a restart, or a store that stays unusable once there is room.
 */
class LogStoreProperties {
    private static final int OPERATIONS = 25;
    private static final int MAX_CHANGES_BEFORE = 90;
    private static final int CHANGES_OF_AN_OPENING = 10;

    /** What the store has confirmed, and what it has refused since. */
    private static final class Model {
        List<StoredEntry> entries = new ArrayList<>();
        StoredSnapshot snapshot;
        HardState hardState;
        final List<StoredSnapshot> refusedSnapshots = new ArrayList<>();

        /** Records that the next successful write of a record removes. */
        final List<HardState> refusedStates = new ArrayList<>();

        final List<List<StoredEntry>> refusedEntries = new ArrayList<>();

        long lastIndex() {
            long covered = snapshot == null ? 0 : snapshot.getIndex();
            return entries.isEmpty() ? covered : entries.get(entries.size() - 1).getIndex();
        }

        void append(List<StoredEntry> added) {
            entries.removeIf(entry -> entry.getIndex() >= added.get(0).getIndex());
            entries.addAll(added);
        }

        void install(StoredSnapshot installed) {
            boolean continues =
                    entries.stream()
                            .anyMatch(
                                    entry ->
                                            entry.getIndex() == installed.getIndex()
                                                    && entry.getTerm() == installed.getTerm());
            entries = continues ? after(installed) : new ArrayList<>();
            snapshot = installed;
        }

        List<StoredEntry> after(StoredSnapshot covering) {
            List<StoredEntry> kept = new ArrayList<>(entries);
            kept.removeIf(
                    entry ->
                            entry.getIndex() <= covering.getIndex()
                                    || entry.getTerm() < covering.getTerm());
            return kept;
        }

        void clearRefusedRecords() {
            refusedStates.clear();
            refusedEntries.clear();
        }
    }

    private Model model;
    private long term;

    private static StoredEntry entry(long index, long term, int number) {
        return StoredEntry.newBuilder()
                .setIndex(index)
                .setTerm(term)
                .setPayload(ByteString.copyFromUtf8("entry " + number))
                .build();
    }

    /** The file of a new log has to be durable before anything in it is confirmed. */
    @Example
    void entriesOutlastALossOfPowerThoughTheFirstOpeningFailedAtAnyChange() throws IOException {
        for (int refused = 0; refused < CHANGES_OF_AN_OPENING; refused++) {
            Path folder = Files.createTempDirectory("store");
            FailingFiles files = new FailingFiles();
            files.refuse(refused, 1);
            LogStore store = openAtLast(folder, files);
            files.refuse(0, 0);
            store.append(List.of(entry(1, 1, refused)));
            store.close();
            files.losePower();
            LogStore reopened = LogStore.open(folder);
            assertEquals(1, reopened.entries().size(), "change " + refused);
            reopened.close();
            delete(folder);
        }
    }

    private static LogStore openAtLast(Path folder, FailingFiles files) {
        try {
            return LogStore.open(folder, files);
        } catch (ChivevaleException e) {
            return LogStore.open(folder, files);
        }
    }

    @Property(tries = 500, seed = "20261205")
    void everyChangeIsWholeOrUndoneAndTheStoreWorksAgain(@ForAll long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        model = new Model();
        term = 1;
        Path folder = Files.createTempDirectory("store");
        try {
            FailingFiles files = new FailingFiles();
            LogStore store = LogStore.open(folder, files);
            model.hardState = store.hardState();
            files.refuse(random.nextInt(MAX_CHANGES_BEFORE), 1 + random.nextInt(4));
            for (int i = 0; i < OPERATIONS; i++) {
                operate(store, random, i);
                assertStored(store);
                if (random.nextInt(12) == 0) {
                    store.close();
                    files.losePower();
                    store = LogStore.open(folder);
                    assertReopened(store);
                    store.close();
                    files = new FailingFiles();
                    store = LogStore.open(folder, files);
                    files.refuse(random.nextInt(30), 1 + random.nextInt(4));
                }
            }
            files.refuse(0, 0);
            store.append(List.of(entry(model.lastIndex() + 1, term, OPERATIONS)));
            model.append(List.of(entry(model.lastIndex() + 1, term, OPERATIONS)));
            assertStored(store);
            store.close();
        } finally {
            delete(folder);
        }
    }

    private void operate(LogStore store, SplittableRandom random, int number) {
        switch (random.nextInt(6)) {
            case 0 -> saveHardState(store, random);
            case 1 -> compact(store, random);
            case 2 -> install(store, random);
            default -> append(store, random, number);
        }
    }

    private void append(LogStore store, SplittableRandom random, int number) {
        long covered = model.snapshot == null ? 0 : model.snapshot.getIndex();
        long first = model.lastIndex() + 1;
        if (random.nextInt(5) == 0 && first - 1 > covered) {
            first = covered + 1 + random.nextLong(first - 1 - covered);
            term++;
        }
        List<StoredEntry> added = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            added.add(entry(first + i, term, number * 10 + i));
        }
        if (isAccepted(() -> store.append(added))) {
            model.append(added);
            model.clearRefusedRecords();
        } else {
            model.refusedEntries.add(added);
        }
    }

    private void saveHardState(LogStore store, SplittableRandom random) {
        term++;
        HardState saved =
                model.hardState.toBuilder()
                        .setTerm(term)
                        .setVotedFor("voter " + random.nextInt(9))
                        .build();
        if (isAccepted(() -> store.saveHardState(saved))) {
            model.hardState = saved;
            model.clearRefusedRecords();
        } else {
            model.refusedStates.add(saved);
        }
    }

    /** Snapshots a beginning of the log. */
    private void compact(LogStore store, SplittableRandom random) {
        if (!model.entries.isEmpty()) {
            StoredEntry last = model.entries.get(random.nextInt(model.entries.size()));
            save(store, last.getIndex(), last.getTerm());
        }
    }

    /** Installs a snapshot that the log does not reach. */
    private void install(LogStore store, SplittableRandom random) {
        if (random.nextInt(3) == 0) {
            term++;
            save(store, model.lastIndex() + 1 + random.nextInt(5), term);
        }
    }

    private void save(LogStore store, long index, long snapshotTerm) {
        StoredSnapshot saved =
                StoredSnapshot.newBuilder()
                        .setIndex(index)
                        .setTerm(snapshotTerm)
                        .setState(ByteString.copyFromUtf8("state at " + index))
                        .build();
        if (isAccepted(() -> store.saveSnapshot(saved))) {
            model.install(saved);
            model.refusedSnapshots.clear();
        } else {
            model.refusedSnapshots.add(saved);
        }
    }

    private static boolean isAccepted(Runnable change) {
        try {
            change.run();
            return true;
        } catch (ChivevaleException e) {
            return false;
        }
    }

    private void assertStored(LogStore store) {
        assertEquals(model.entries, store.entries());
        assertEquals(model.snapshot, store.snapshot());
        assertEquals(model.hardState, store.hardState());
    }

    /** A refused change may have reached the disk as a whole; nothing else may differ. */
    private void assertReopened(LogStore store) {
        StoredSnapshot snapshot = store.snapshot();
        if (model.refusedSnapshots.contains(snapshot)) {
            model.entries = model.after(snapshot);
            model.snapshot = snapshot;
        }
        assertEquals(model.snapshot, snapshot);
        HardState state = store.hardState();
        assertTrue(state.equals(model.hardState) || model.refusedStates.contains(state));
        model.hardState = state;
        List<StoredEntry> confirmed = model.entries;
        for (List<StoredEntry> refused : model.refusedEntries) {
            if (!model.entries.equals(store.entries())) {
                model.entries = new ArrayList<>(confirmed);
                model.append(refused);
            }
        }
        assertEquals(model.entries, store.entries());
        model.clearRefusedRecords();
        model.refusedSnapshots.clear();
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
