package org.chivevale.consensus.store;

import java.util.List;
import org.chivevale.wire.proto.HardState;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;

/**
 * What a member of the log must not forget.
 *
 * <p>Contract: what a method has written is durable once it returns. Called by one thread.
 */
public interface LogStorage extends AutoCloseable {
    /**
     * Returns the entries after the snapshot.
     *
     * @return in the order of their index, as a view
     */
    List<StoredEntry> entries();

    /**
     * Returns the newest snapshot.
     *
     * @return null when there is none
     */
    StoredSnapshot snapshot();

    /**
     * Returns term, vote and the identity of the folder.
     *
     * @return never null
     */
    HardState hardState();

    /**
     * Appends entries; those from the first one's index on are replaced.
     *
     * @param added in the order of their index
     */
    void append(List<StoredEntry> added);

    /**
     * Saves term and vote.
     *
     * @param state the identity in it is ignored
     */
    void saveHardState(HardState state);

    /**
     * Takes the identity that the first folders of a deployment share.
     *
     * @param storeId the identity
     */
    void adoptIdentity(String storeId);

    /**
     * Saves a snapshot and drops the entries that it covers, and those that do not continue it.
     *
     * @param snapshot the snapshot
     */
    void saveSnapshot(StoredSnapshot snapshot);

    @Override
    void close();
}
