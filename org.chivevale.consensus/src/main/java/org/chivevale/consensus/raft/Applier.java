package org.chivevale.consensus.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.chivevale.consensus.AgreedLog.Result;
import org.chivevale.consensus.StateMachine;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;

/**
 * Applies committed entries to the state machine and tells those who wait for them.
 *
 * <p>Invariants: entries are applied once, in order, and never before they are committed; what was
 * applied is compacted into a snapshot from time to time. Not thread safe.
 */
final class Applier {
    private final RaftLog log;
    private final StateMachine machine;
    private final int snapshotEvery;
    private final TreeMap<Long, Consumer<Result>> waiting = new TreeMap<>();
    private long commitIndex;
    private long appliedIndex;

    Applier(RaftLog log, StateMachine machine, int snapshotEvery) {
        this.log = log;
        this.machine = machine;
        this.snapshotEvery = snapshotEvery;
    }

    /** Puts a snapshot in place of everything that was applied. */
    void restore(StoredSnapshot snapshot) {
        machine.restore(snapshot.getState().toByteArray());
        commitIndex = snapshot.getIndex();
        appliedIndex = snapshot.getIndex();
    }

    void commit(long index) {
        if (index <= commitIndex) {
            return;
        }
        commitIndex = index;
        while (appliedIndex < commitIndex) {
            apply(log.entry(appliedIndex + 1));
        }
        boolean compact = log.entriesKept() >= snapshotEvery;
        if (compact && appliedIndex > log.snapshotIndex()) {
            log.compact(appliedIndex, machine.snapshot());
        }
    }

    private void apply(StoredEntry entry) {
        appliedIndex = entry.getIndex();
        boolean effective =
                entry.getPayload().isEmpty()
                        || machine.apply(entry.getIndex(), entry.getPayload().toByteArray());
        Consumer<Result> done = waiting.remove(entry.getIndex());
        if (done != null) {
            done.accept(effective ? Result.APPLIED : Result.SUPERSEDED);
        }
    }

    long commitIndex() {
        return commitIndex;
    }

    /** Tells {@code done} what became of an entry once it is applied. */
    void await(long index, Consumer<Result> done) {
        waiting.put(index, done);
    }

    /** Tells all who wait that this member no longer leads. */
    void abandonWaiting() {
        List<Consumer<Result>> abandoned = new ArrayList<>(waiting.values());
        waiting.clear();
        abandoned.forEach(one -> one.accept(Result.NOT_LEADING));
    }
}
