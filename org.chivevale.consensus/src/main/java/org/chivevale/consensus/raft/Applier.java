package org.chivevale.consensus.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.chivevale.consensus.ReplicatedLog.AppendResult;
import org.chivevale.consensus.StateMachine;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;

/**
 * Applies committed entries to the state machine and completes the appends that wait for them.
 *
 * <p>Invariants: each entry is applied once, in order, and only after it is committed; once the log
 * holds {@code snapshotEvery} entries, the applied ones are compacted into a snapshot. Not thread
 * safe.
 */
final class Applier {
    private final RaftLog log;
    private final StateMachine machine;
    private final int snapshotEvery;
    private final TreeMap<Long, Consumer<AppendResult>> waitingAppends = new TreeMap<>();
    private long commitIndex;
    private long appliedIndex;

    Applier(RaftLog log, StateMachine machine, int snapshotEvery) {
        this.log = log;
        this.machine = machine;
        this.snapshotEvery = snapshotEvery;
    }

    /** Replaces the applied state by a snapshot. */
    void restore(StoredSnapshot snapshot) {
        machine.restore(snapshot.getState().toByteArray());
        commitIndex = snapshot.getIndex();
        appliedIndex = snapshot.getIndex();
    }

    void advanceCommitIndex(long index) {
        if (index <= commitIndex) {
            return;
        }
        commitIndex = index;
        while (appliedIndex < commitIndex) {
            apply(log.entry(appliedIndex + 1));
        }
        boolean compact = log.entryCount() >= snapshotEvery;
        if (compact && appliedIndex > log.snapshotIndex()) {
            log.compact(appliedIndex, machine.snapshot());
        }
    }

    private void apply(StoredEntry entry) {
        appliedIndex = entry.getIndex();
        boolean effective =
                entry.getPayload().isEmpty()
                        || machine.apply(entry.getIndex(), entry.getPayload().toByteArray());
        Consumer<AppendResult> done = waitingAppends.remove(entry.getIndex());
        if (done != null) {
            done.accept(effective ? AppendResult.APPLIED : AppendResult.SUPERSEDED);
        }
    }

    long commitIndex() {
        return commitIndex;
    }

    /** Calls {@code done} with the outcome once the entry is applied. */
    void awaitApplied(long index, Consumer<AppendResult> done) {
        waitingAppends.put(index, done);
    }

    /** Ends all waiting appends with NOT_LEADER, after this member has lost leadership. */
    void failWaiting() {
        List<Consumer<AppendResult>> failed = new ArrayList<>(waitingAppends.values());
        waitingAppends.clear();
        failed.forEach(done -> done.accept(AppendResult.NOT_LEADER));
    }
}
