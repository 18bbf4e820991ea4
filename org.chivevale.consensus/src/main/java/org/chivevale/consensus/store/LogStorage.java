package org.chivevale.consensus.store;

import java.util.List;
import org.chivevale.wire.proto.HardState;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;

/**
 * Durable storage of one member's log, term, vote and snapshot.
 *
 * <p>Contract: a method returns only after its writes are durable. Called by one thread.
 */
public interface LogStorage extends AutoCloseable {
    /**
     * Returns the entries after the snapshot.
     *
     * @return an unmodifiable view, in the order of the index
     */
    List<StoredEntry> entries();

    /**
     * Returns the newest snapshot.
     *
     * @return null when there is none
     */
    StoredSnapshot snapshot();

    /**
     * Returns the term, the vote and the store id.
     *
     * @return never null
     */
    HardState hardState();

    /**
     * Appends entries, replacing all stored ones from the first new one's index on.
     *
     * @param added the new entries, in the order of their index
     */
    void append(List<StoredEntry> added);

    /**
     * Saves the term and the vote.
     *
     * @param state the term and vote; its store id is ignored
     */
    void saveHardState(HardState state);

    /**
     * Replaces the store id by the one that the initial voters of a deployment share.
     *
     * @param storeId the shared store id
     */
    void adoptStoreId(String storeId);

    /**
     * Saves a snapshot and drops the entries that it covers, and all entries if the log does not
     * contain the snapshot's last entry.
     *
     * @param snapshot the new snapshot
     */
    void saveSnapshot(StoredSnapshot snapshot);

    @Override
    void close();
}
