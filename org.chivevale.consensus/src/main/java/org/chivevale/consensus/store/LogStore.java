package org.chivevale.consensus.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.UUID;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.wire.proto.HardState;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredRecord;
import org.chivevale.wire.proto.StoredSnapshot;
import org.jboss.logging.Logger;

/**
 * Stores the log of a control process in its data folder: entries, term, vote and newest snapshot.
 *
 * <p>Files: {@code LOCK}, {@code log}, {@code snapshot}. Invariants: writes are synced before a
 * method returns; a change whose write fails has no effect on what this object returns, and later
 * changes succeed once the disk accepts them; a snapshot is replaced atomically, and the log keeps
 * the entries after it; the folder is locked against use by a second process. Not thread safe.
 */
public final class LogStore implements LogStorage {
    private static final Logger LOG = Logger.getLogger(LogStore.class);
    private static final String LOG_FILE = "log";
    private static final String NEW_LOG = "log.new";
    private static final String SNAPSHOT = "snapshot";
    private static final String NEW_SNAPSHOT = "snapshot.new";

    private final Path folder;
    private final StoreFiles files;
    private final FileChannel lockChannel;
    private final FileLock lock;
    private final List<StoredEntry> entries = new ArrayList<>();
    private RecordFile file;

    /** False until the folder is synced, since an earlier opening may have failed before that. */
    private boolean isFolderSynced;

    private HardState hardState = HardState.getDefaultInstance();
    private StoredSnapshot snapshot;

    private LogStore(Path folder, StoreFiles files, FileChannel lockChannel, FileLock lock) {
        this.folder = folder;
        this.files = files;
        this.lockChannel = lockChannel;
        this.lock = lock;
    }

    /**
     * Opens a data folder, creating it if it does not exist, and loads its contents.
     *
     * @param folder the data folder
     * @return the open store
     * @throws ChivevaleException with STORE_LOCKED, STORE_DAMAGED or STORE_FAILED
     */
    public static LogStore open(Path folder) {
        return open(folder, StoreFiles.onDisk());
    }

    static LogStore open(Path folder, StoreFiles files) {
        try {
            Files.createDirectories(folder);
            FileChannel channel =
                    FileChannel.open(
                            folder.resolve("LOCK"),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            FileLock lock = tryLock(channel);
            if (lock == null) {
                channel.close();
                throw new ChivevaleException(
                        ResultCode.STORE_LOCKED, folder + " is locked by another process");
            }
            LogStore store = new LogStore(folder, files, channel, lock);
            return loadOrClose(store);
        } catch (IOException e) {
            throw storageError(folder, e);
        }
    }

    /** Loads a store; one that cannot be loaded is closed, so that it can be opened again. */
    private static LogStore loadOrClose(LogStore store) throws IOException {
        try {
            store.load();
            return store;
        } catch (IOException | RuntimeException e) {
            closeQuietly(store.file);
            store.lockChannel.close();
            throw e;
        }
    }

    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    private static ChivevaleException storageError(Path path, IOException e) {
        return new ChivevaleException(ResultCode.STORE_FAILED, path + ": " + e.getMessage());
    }

    private void load() throws IOException {
        files.delete(folder.resolve(NEW_LOG));
        files.delete(folder.resolve(NEW_SNAPSHOT));
        loadSnapshot();
        List<byte[]> records = new ArrayList<>();
        file = RecordFile.open(files, folder.resolve(LOG_FILE), records);
        for (byte[] record : records) {
            load(record);
        }
        entries.removeIf(entry -> entry.getTerm() < snapshotTerm());
        if (hardState.getStoreId().isEmpty()) {
            saveHardState(hardState.toBuilder().setStoreId(UUID.randomUUID().toString()).build());
        }
    }

    private void loadSnapshot() throws IOException {
        Path path = folder.resolve(SNAPSHOT);
        if (!Files.exists(path)) {
            return;
        }
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(path));
        if (bytes.remaining() < Integer.BYTES) {
            throw corruptionError(path, 0);
        }
        int crc = bytes.getInt();
        byte[] body = new byte[bytes.remaining()];
        bytes.get(body);
        if (crc != RecordFile.crc(body)) {
            throw corruptionError(path, 0);
        }
        snapshot = StoredSnapshot.parseFrom(body);
    }

    private static ChivevaleException corruptionError(Path path, long offset) {
        return new ChivevaleException(
                ResultCode.STORE_DAMAGED,
                path + " at offset " + offset + ": checksum or format error");
    }

    private void load(byte[] bytes) {
        StoredRecord record;
        try {
            record = StoredRecord.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw corruptionError(folder.resolve(LOG_FILE), file.sizeBytes());
        }
        if (record.hasHardState()) {
            hardState = record.getHardState();
        }
        record.getEntriesList().forEach(this::putEntry);
    }

    private void putEntry(StoredEntry entry) {
        removeFrom(entry.getIndex());
        if (entry.getIndex() > snapshotIndex()) {
            entries.add(entry);
        }
    }

    private void removeFrom(long index) {
        while (!entries.isEmpty() && entries.get(entries.size() - 1).getIndex() >= index) {
            entries.remove(entries.size() - 1);
        }
    }

    /**
     * Entries of an earlier term than the snapshot's are left over from a log that an installed
     * snapshot has replaced.
     */
    private long snapshotTerm() {
        return snapshot == null ? 0 : snapshot.getTerm();
    }

    private long snapshotIndex() {
        return snapshot == null ? 0 : snapshot.getIndex();
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
        if (added.isEmpty()) {
            return;
        }
        writeRecord(StoredRecord.newBuilder().addAllEntries(added).build());
        added.forEach(this::putEntry);
    }

    @Override
    public void adoptStoreId(String storeId) {
        HardState adopted = hardState.toBuilder().setStoreId(storeId).build();
        writeRecord(StoredRecord.newBuilder().setHardState(adopted).build());
        hardState = adopted;
    }

    private void writeRecord(StoredRecord record) {
        syncFolder();
        file.append(record.toByteArray());
    }

    @Override
    public void saveHardState(HardState state) {
        HardState.Builder kept = state.toBuilder();
        if (!hardState.getStoreId().isEmpty()) {
            kept.setStoreId(hardState.getStoreId());
        }
        HardState saved = kept.build();
        writeRecord(StoredRecord.newBuilder().setHardState(saved).build());
        hardState = saved;
    }

    @Override
    public void saveSnapshot(StoredSnapshot newSnapshot) {
        try {
            byte[] body = newSnapshot.toByteArray();
            ByteBuffer bytes = ByteBuffer.allocate(Integer.BYTES + body.length);
            bytes.putInt(RecordFile.crc(body)).put(body).flip();
            replaceFile(SNAPSHOT, NEW_SNAPSHOT, bytes);
        } catch (IOException e) {
            deleteRemains(NEW_SNAPSHOT);
            throw storageError(folder, e);
        }
        dropUnlessContinued(newSnapshot);
        snapshot = newSnapshot;
        entries.removeIf(entry -> entry.getIndex() <= newSnapshot.getIndex());
        compact();
    }

    /** Drops all entries if the log lacks the last entry of an installed snapshot. */
    private void dropUnlessContinued(StoredSnapshot newSnapshot) {
        boolean continues =
                entries.stream()
                        .anyMatch(
                                entry ->
                                        entry.getIndex() == newSnapshot.getIndex()
                                                && entry.getTerm() == newSnapshot.getTerm());
        if (!continues) {
            entries.clear();
        }
    }

    private void replaceFile(String name, String newName, ByteBuffer bytes) throws IOException {
        Path newFile = folder.resolve(newName);
        try (FileChannel channel =
                files.open(
                        newFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
        files.replace(newFile, folder.resolve(name));
        files.syncFolder(folder);
    }

    /**
     * Writes the log file anew without the entries that the snapshot covers. If that fails, the old
     * file stays in use, and a later snapshot tries again; loading it ignores those entries.
     */
    private void compact() {
        RecordFile compacted = null;
        try {
            Path newFile = folder.resolve(NEW_LOG);
            files.delete(newFile);
            compacted = RecordFile.open(files, newFile, new ArrayList<>());
            compacted.append(
                    StoredRecord.newBuilder()
                            .setHardState(hardState)
                            .addAllEntries(entries)
                            .build()
                            .toByteArray());
            files.replace(newFile, folder.resolve(LOG_FILE));
        } catch (IOException | ChivevaleException e) {
            LOG.warnf("the log is not compacted now: %s", e.getMessage());
            closeQuietly(compacted);
            deleteRemains(NEW_LOG);
            return;
        }
        closeQuietly(file);
        file = compacted;
        isFolderSynced = false;
        try {
            syncFolder();
        } catch (ChivevaleException e) {
            LOG.warnf("the replaced log is not synced now: %s", e.getMessage());
        }
    }

    /** Syncs the folder after the log file was replaced; entries in the new file need it. */
    private void syncFolder() {
        if (isFolderSynced) {
            return;
        }
        try {
            files.syncFolder(folder);
            isFolderSynced = true;
        } catch (IOException e) {
            throw storageError(folder, e);
        }
    }

    /** Deletes what a failed write may have left, since it takes room; opening deletes it too. */
    private void deleteRemains(String name) {
        try {
            files.delete(folder.resolve(name));
        } catch (IOException e) {
            LOG.debugf("cannot delete %s: %s", name, e.getMessage());
        }
    }

    private static void closeQuietly(RecordFile unused) {
        if (unused == null) {
            return;
        }
        try {
            unused.close();
        } catch (IOException e) {
            LOG.debugf("cannot close a file that is no longer used: %s", e.getMessage());
        }
    }

    @Override
    public void close() {
        try {
            file.close();
            lock.release();
            lockChannel.close();
        } catch (IOException e) {
            throw storageError(folder, e);
        }
    }
}
