package org.chivevale.consensus.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * File operations on a disk that refuses some of the changes in a row, and that forgets the
 * creation and replacement of files at a loss of power unless their folder was synced.
 */
final class FailingFiles implements StoreFiles {
    private final StoreFiles disk = StoreFiles.onDisk();
    private final Map<Path, byte[]> replacedUnsynced = new HashMap<>();
    private final Set<Path> createdUnsynced = new HashSet<>();
    private int changes;
    private int firstRefused;
    private int lastRefused;

    /** Refuses {@code count} changes after the next {@code after} ones. */
    void refuse(int after, int count) {
        firstRefused = changes + after + 1;
        lastRefused = changes + after + count;
    }

    private boolean refusesNext() {
        changes++;
        return changes >= firstRefused && changes <= lastRefused;
    }

    private void requireAccepted() throws IOException {
        if (refusesNext()) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public FileChannel open(Path path, OpenOption... options) throws IOException {
        requireAccepted();
        if (!Files.exists(path)) {
            createdUnsynced.add(path);
        }
        return new FullDiskChannel(disk.open(path, options), this::refusesNext);
    }

    @Override
    public void replace(Path newFile, Path file) throws IOException {
        requireAccepted();
        if (Files.exists(file)) {
            replacedUnsynced.putIfAbsent(file, Files.readAllBytes(file));
        }
        createdUnsynced.remove(newFile);
        disk.replace(newFile, file);
    }

    @Override
    public void delete(Path path) throws IOException {
        requireAccepted();
        disk.delete(path);
    }

    @Override
    public void syncFolder(Path folder) throws IOException {
        requireAccepted();
        disk.syncFolder(folder);
        replacedUnsynced.clear();
        createdUnsynced.clear();
    }

    /** Takes back the creations and replacements that were not synced. */
    void losePower() throws IOException {
        for (Path created : createdUnsynced) {
            Files.deleteIfExists(created);
        }
        createdUnsynced.clear();
        for (Map.Entry<Path, byte[]> replaced : replacedUnsynced.entrySet()) {
            Files.write(replaced.getKey(), replaced.getValue());
        }
        replacedUnsynced.clear();
    }
}
