package org.chivevale.load.check;

import java.util.ArrayList;
import java.util.List;

/**
 * The writes, reads and versions that callers and observers recorded in a run.
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
     * @param event the write, after the response to its last attempt
     */
    public synchronized void add(WriteEvent event) {
        writes.add(event);
    }

    /**
     * Adds a read that succeeded.
     *
     * @param event the read with its result
     */
    public synchronized void add(ReadEvent event) {
        reads.add(event);
    }

    /**
     * Adds a version; an observer adds its versions in the order in which it saw them.
     *
     * @param event the version
     */
    public synchronized void add(VersionEvent event) {
        versions.add(event);
    }

    /**
     * Returns the writes recorded so far.
     *
     * @return a copy
     */
    public synchronized List<WriteEvent> writes() {
        return List.copyOf(writes);
    }

    /**
     * Returns the reads recorded so far.
     *
     * @return a copy
     */
    public synchronized List<ReadEvent> reads() {
        return List.copyOf(reads);
    }

    /**
     * Returns the versions recorded so far.
     *
     * @return a copy
     */
    public synchronized List<VersionEvent> versions() {
        return List.copyOf(versions);
    }
}
