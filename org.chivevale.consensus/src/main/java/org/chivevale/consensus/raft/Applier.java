package org.chivevale.consensus.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.chivevale.consensus.ReplicatedLog.AppendResult;
import org.chivevale.consensus.StateMachine;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;
import org.jboss.logging.Logger;

/**
 * Applies committed entries to the state machine and completes the appends that wait for them.
 *
 * <p>Invariants: each entry is applied once, in order, and only after it is committed; once the log
 * holds {@code snapshotEvery} entries, the applied ones are compacted into a snapshot. Not thread
 * safe.
 */
final class Applier {
    private static final Logger LOG = Logger.getLogger(Applier.class);

    /** Attempts of a snapshot that the disk refuses, in the number of entries between snapshots. */
    private static final int RETRIES_PER_INTERVAL = 8;

    private final RaftLog log;
    private final StateMachine machine;
    private final int snapshotEvery;
    private int compactAtCount;
    private final TreeMap<Long, Consumer<AppendResult>> waitingAppends = new TreeMap<>();
    private long commitIndex;
    private long appliedIndex;

    Applier(RaftLog log, StateMachine machine, int snapshotEvery) {
        this.log = log;
        this.machine = machine;
        this.snapshotEvery = snapshotEvery;
        this.compactAtCount = snapshotEvery;
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
        boolean compact = log.entryCount() >= compactAtCount;
        if (compact && appliedIndex > log.snapshotIndex()) {
            compact();
        }
    }

    /**
     * Writes a snapshot. If the disk refuses it, the entries stay, and what was applied is valid
     * all the same; the next attempt comes after some more entries.
     */
    private void compact() {
        try {
            log.compact(appliedIndex, machine.snapshot());
            compactAtCount = snapshotEvery;
        } catch (ChivevaleException e) {
            compactAtCount = log.entryCount() + Math.max(1, snapshotEvery / RETRIES_PER_INTERVAL);
            LOG.warnf("no snapshot up to entry %d now: %s", appliedIndex, e.getMessage());
        }
    }

    private void apply(StoredEntry entry) {
        appliedIndex = entry.getIndex();
        AppendResult result = entry.getPayload().isEmpty() ? AppendResult.APPLIED : run(entry);
        Consumer<AppendResult> done = waitingAppends.remove(entry.getIndex());
        if (done != null) {
            done.accept(result);
        }
    }

    /** Applies an entry; one that fails, as it does in every process, must not stop later ones. */
    private AppendResult run(StoredEntry entry) {
        try {
            boolean effective = machine.apply(entry.getIndex(), entry.getPayload().toByteArray());
            return effective ? AppendResult.APPLIED : AppendResult.SUPERSEDED;
        } catch (RuntimeException e) {
            LOG.errorf(e, "entry %d cannot be applied", entry.getIndex());
            return AppendResult.FAILED;
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
