package org.chivevale.consensus;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.Consumer;
import org.chivevale.consensus.store.LogStore;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;
import org.jboss.logging.Logger;

/**
 * The log of a deployment with a single control process: durable, but not replicated.
 *
 * <p>Not thread safe.
 */
public final class SingleNodeLog implements ReplicatedLog {
    private static final Logger LOG = Logger.getLogger(SingleNodeLog.class);
    private static final long TERM = 1;

    private final LogStore store;
    private final StateMachine machine;
    private final int snapshotEvery;
    private final String self;
    private long lastIndex;

    /**
     * Restores the state from the store and becomes the leader.
     *
     * @param self this process's id
     * @param store stores the entries and snapshots
     * @param machine what entries are applied to
     * @param snapshotEvery number of entries after which a snapshot is written
     */
    public SingleNodeLog(String self, LogStore store, StateMachine machine, int snapshotEvery) {
        this.self = self;
        this.store = store;
        this.machine = machine;
        this.snapshotEvery = snapshotEvery;
        StoredSnapshot snapshot = store.snapshot();
        if (snapshot != null) {
            machine.restore(snapshot.getState().toByteArray());
            lastIndex = snapshot.getIndex();
        }
        for (StoredEntry entry : store.entries()) {
            machine.apply(entry.getIndex(), entry.getPayload().toByteArray());
            lastIndex = entry.getIndex();
        }
        machine.onLeadershipChange(true, TERM);
    }

    @Override
    public void append(byte[] payload, Consumer<AppendResult> done) {
        StoredEntry entry =
                StoredEntry.newBuilder()
                        .setIndex(lastIndex + 1)
                        .setTerm(TERM)
                        .setPayload(ByteString.copyFrom(payload))
                        .build();
        store.append(List.of(entry));
        lastIndex++;
        boolean effective = machine.apply(lastIndex, payload);
        if (store.entries().size() >= snapshotEvery) {
            saveSnapshot();
        }
        done.accept(effective ? AppendResult.APPLIED : AppendResult.SUPERSEDED);
    }

    /** Writes a snapshot; if the disk refuses it, the entry is in force all the same. */
    private void saveSnapshot() {
        try {
            store.saveSnapshot(
                    StoredSnapshot.newBuilder()
                            .setIndex(lastIndex)
                            .setTerm(TERM)
                            .setState(ByteString.copyFrom(machine.snapshot()))
                            .build());
        } catch (ChivevaleException e) {
            LOG.warnf("no snapshot up to entry %d now: %s", lastIndex, e.getMessage());
        }
    }

    @Override
    public boolean isLeader() {
        return true;
    }

    @Override
    public String leader() {
        return self;
    }

    @Override
    public void close() {
        store.close();
    }
}
