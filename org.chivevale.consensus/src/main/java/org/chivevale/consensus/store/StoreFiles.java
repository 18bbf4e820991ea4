package org.chivevale.consensus.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * The file operations of the store, each of which fails when the disk refuses it.
 *
 * <p>Called by one thread.
 */
interface StoreFiles {
    /** Opens a file with the options of {@link FileChannel#open}. */
    FileChannel open(Path path, OpenOption... options) throws IOException;

    /** Moves a file over another one; after a failure the other one is as before. */
    void replace(Path newFile, Path file) throws IOException;

    /** Deletes a file if it exists. */
    void delete(Path path) throws IOException;

    /** Makes the creation, replacement and deletion of files in a folder durable. */
    void syncFolder(Path folder) throws IOException;

    /** Returns the operations on the file system. */
    static StoreFiles onDisk() {
        return new StoreFiles() {
            @Override
            public FileChannel open(Path path, OpenOption... options) throws IOException {
                return FileChannel.open(path, options);
            }

            @Override
            public void replace(Path newFile, Path file) throws IOException {
                Files.move(
                        newFile,
                        file,
                        StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            }

            @Override
            public void delete(Path path) throws IOException {
                Files.deleteIfExists(path);
            }

            @Override
            public void syncFolder(Path folder) throws IOException {
                try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
                    channel.force(true);
                }
            }
        };
    }
}
