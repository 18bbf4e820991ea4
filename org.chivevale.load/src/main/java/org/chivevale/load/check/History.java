package org.chivevale.load.check;

import java.util.ArrayList;
import java.util.List;

/**
 * Everything that callers and observers saw in a run.
 *
 * <p>Thread safe.
 */
public final class History {
    private final List<WriteEvent> writes = new ArrayList<>();
    private final List<ReadEvent> reads = new ArrayList<>();
    private final List<VersionEvent> versions = new ArrayList<>();

    /**
     * Adds a write.
     *
     * @param event the write, after its last answer
     */
    public synchronized void add(WriteEvent event) {
        writes.add(event);
    }

    /**
     * Adds a read that was answered.
     *
     * @param event the read
     */
    public synchronized void add(ReadEvent event) {
        reads.add(event);
    }

    /**
     * Adds a version, in the order in which its observer saw them.
     *
     * @param event the version
     */
    public synchronized void add(VersionEvent event) {
        versions.add(event);
    }

    /**
     * Returns the writes.
     *
     * @return a copy
     */
    public synchronized List<WriteEvent> writes() {
        return List.copyOf(writes);
    }

    /**
     * Returns the reads.
     *
     * @return a copy
     */
    public synchronized List<ReadEvent> reads() {
        return List.copyOf(reads);
    }

    /**
     * Returns the versions.
     *
     * @return a copy
     */
    public synchronized List<VersionEvent> versions() {
        return List.copyOf(versions);
    }
}
