package org.chivevale.consensus.raft;

import com.google.protobuf.ByteString;
import java.util.List;
import org.chivevale.consensus.store.LogStorage;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.HardState;
import org.chivevale.wire.proto.Participants;
import org.chivevale.wire.proto.StoredEntry;
import org.chivevale.wire.proto.StoredSnapshot;

/**
 * The log of one member and the participants that it defines.
 *
 * <p>Invariant: the newest entry that names participants is in effect as soon as it is appended,
 * committed or not. Not thread safe.
 */
final class RaftLog {
    private static final long NO_TERM = -1;
    private static final int MAX_BATCH_BYTES = 512 * 1024;

    private final LogStorage store;
    private Participants participants;
    private long participantsIndex;

    RaftLog(LogStorage store) {
        this.store = store;
        loadParticipants();
    }

    private void loadParticipants() {
        StoredSnapshot snapshot = store.snapshot();
        participants =
                snapshot == null ? Participants.getDefaultInstance() : snapshot.getParticipants();
        participantsIndex = snapshotIndex();
        for (StoredEntry entry : store.entries()) {
            updateParticipants(entry);
        }
    }

    private void updateParticipants(StoredEntry entry) {
        if (entry.hasParticipants()) {
            participants = entry.getParticipants();
            participantsIndex = entry.getIndex();
        }
    }

    Participants participants() {
        return participants;
    }

    /** Index of the entry that defines the participants in effect. */
    long participantsIndex() {
        return participantsIndex;
    }

    /** Returns the participants as of an index, which must not be above the last one. */
    Participants participantsAt(long index) {
        StoredSnapshot snapshot = store.snapshot();
        Participants found =
                snapshot == null ? Participants.getDefaultInstance() : snapshot.getParticipants();
        for (StoredEntry entry : store.entries()) {
            if (entry.getIndex() <= index && entry.hasParticipants()) {
                found = entry.getParticipants();
            }
        }
        return found;
    }

    long snapshotIndex() {
        return store.snapshot() == null ? 0 : store.snapshot().getIndex();
    }

    private long snapshotTerm() {
        return store.snapshot() == null ? 0 : store.snapshot().getTerm();
    }

    StoredSnapshot snapshot() {
        return store.snapshot();
    }

    long lastIndex() {
        List<StoredEntry> entries = store.entries();
        return entries.isEmpty() ? snapshotIndex() : entries.get(entries.size() - 1).getIndex();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    /**
     * Returns the term of the entry at an index; {@link #NO_TERM} when this log lacks the entry.
     */
    long term(long index) {
        if (index == snapshotIndex()) {
            return snapshotTerm();
        }
        StoredEntry entry = entry(index);
        return entry == null ? NO_TERM : entry.getTerm();
    }

    StoredEntry entry(long index) {
        List<StoredEntry> entries = store.entries();
        long offset = index - snapshotIndex() - 1;
        return offset < 0 || offset >= entries.size() ? null : entries.get((int) offset);
    }

    /** True when this log has the entry with the index and term, or a snapshot that covers it. */
    boolean matches(long index, long term) {
        return index < snapshotIndex() || term(index) == term;
    }

    /** True while no entry has carried a change. */
    boolean isWithoutChanges() {
        return store.snapshot() == null
                && store.entries().stream().allMatch(entry -> entry.getPayload().isEmpty());
    }

    /** Returns the initial voters if the folder says that this member may be one; else empty. */
    List<HostPort> initialVoters() {
        return store.hardState().getInitialVotersList().stream().map(HostPort::parse).toList();
    }

    /** Makes the folder remember that its member may be one of the initial voters. */
    void saveInitialVoters(List<HostPort> addresses) {
        HardState.Builder state = store.hardState().toBuilder().clearInitialVoters();
        addresses.forEach(address -> state.addInitialVoters(address.toString()));
        store.saveHardState(state.build());
    }

    int entryCount() {
        return store.entries().size();
    }

    /** Returns entries from an index on, limited to the size of one message. */
    List<StoredEntry> entriesFrom(long index) {
        List<StoredEntry> entries = store.entries();
        int first = (int) Math.max(0, index - snapshotIndex() - 1);
        int end = first;
        int bytes = 0;
        while (end < entries.size() && bytes < MAX_BATCH_BYTES) {
            bytes += entries.get(end).getSerializedSize();
            end++;
        }
        return entries.subList(Math.min(first, end), end);
    }

    void append(List<StoredEntry> added) {
        boolean replacesParticipants =
                !added.isEmpty() && added.get(0).getIndex() <= participantsIndex;
        store.append(added);
        if (replacesParticipants) {
            loadParticipants();
        } else {
            added.forEach(this::updateParticipants);
        }
    }

    /** Replaces the entries up to an index by a snapshot of the applied state. */
    void compact(long index, byte[] state) {
        store.saveSnapshot(
                StoredSnapshot.newBuilder()
                        .setIndex(index)
                        .setTerm(term(index))
                        .setParticipants(participantsAt(index))
                        .setState(ByteString.copyFrom(state))
                        .build());
    }

    /** Replaces everything up to the snapshot's index by a snapshot from the leader. */
    void installSnapshot(StoredSnapshot snapshot) {
        store.saveSnapshot(snapshot);
        loadParticipants();
    }
}
