package org.chivevale.load.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.load.check.Violation.Rule;
import org.chivevale.load.check.WriteEvent.WriteOutcome;

/**
 * Finds violated guarantees in a history.
 *
 * <p>It does not depend on how the system works: it compares the outcomes that callers received
 * with their later reads and with the rows in the database at the end. Not thread safe.
 */
public final class HistoryChecker {
    private final History history;
    private final List<StoredRow> stored;
    private final List<Violation> violations = new ArrayList<>();

    private record RowKey(String session, long sequence) {}

    /**
     * Creates a checker of a run that has ended.
     *
     * @param history what callers and observers recorded
     * @param stored the rows in the database at the end
     */
    public HistoryChecker(History history, List<StoredRow> stored) {
        this.history = history;
        this.stored = List.copyOf(stored);
    }

    /**
     * Checks the whole history.
     *
     * @return the violations; empty when all guarantees were kept
     */
    public List<Violation> findViolations() {
        checkStoredRows();
        checkReads();
        checkVersions();
        return List.copyOf(violations);
    }

    private void checkStoredRows() {
        Map<RowKey, Long> copies = new HashMap<>();
        for (StoredRow row : stored) {
            copies.merge(new RowKey(row.session(), row.sequence()), row.copies(), Long::sum);
        }
        for (WriteEvent write : history.writes()) {
            long storedCopies =
                    copies.getOrDefault(new RowKey(write.session(), write.sequence()), 0L);
            if (storedCopies > 1) {
                report(Rule.DOUBLED_WRITE, write + " is stored " + storedCopies + " times");
            }
            if (write.outcome() == WriteOutcome.ACKNOWLEDGED && storedCopies == 0) {
                report(Rule.LOST_WRITE, write.toString());
            }
            if (write.outcome() == WriteOutcome.NOT_RUN && storedCopies > 0) {
                report(Rule.UNTRUE_NOT_RUN, write.toString());
            }
        }
    }

    private void checkReads() {
        Map<String, List<WriteEvent>> writes = new TreeMap<>();
        for (WriteEvent write : history.writes()) {
            if (write.outcome() == WriteOutcome.ACKNOWLEDGED) {
                writes.computeIfAbsent(write.session(), key -> new ArrayList<>()).add(write);
            }
        }
        Map<String, List<ReadEvent>> reads = new TreeMap<>();
        for (ReadEvent read : history.reads()) {
            reads.computeIfAbsent(read.session(), key -> new ArrayList<>()).add(read);
        }
        reads.forEach(
                (session, sessionReads) ->
                        checkSession(sessionReads, writes.getOrDefault(session, List.of())));
    }

    private void checkSession(List<ReadEvent> reads, List<WriteEvent> writes) {
        List<ReadEvent> ordered = new ArrayList<>(reads);
        ordered.sort(Comparator.comparingLong(ReadEvent::order));
        TreeMap<Long, Long> acknowledged = highestSequenceByEndNanos(writes);
        long highestRead = 0;
        for (ReadEvent read : ordered) {
            if (!read.hasOwnNonce()) {
                report(Rule.CROSSED_ANSWER, read.toString());
            }
            if (read.isSessionRestarted()) {
                highestRead = 0;
            }
            checkRead(read, acknowledged, highestRead);
            highestRead = Math.max(highestRead, read.observedSequence());
        }
    }

    private void checkRead(ReadEvent read, TreeMap<Long, Long> acknowledged, long highestRead) {
        boolean sessionRead = read.acceptedAgeNanos() == ReadEvent.SESSION_READ;
        long until = read.startNanos() - (sessionRead ? 0 : read.acceptedAgeNanos());
        Map.Entry<Long, Long> written = acknowledged.floorEntry(until);
        if (written != null && read.observedSequence() < written.getValue()) {
            report(
                    sessionRead ? Rule.READ_YOUR_WRITES : Rule.TOO_OLD,
                    read + " after sequence " + written.getValue() + " was acknowledged");
        }
        if (read.observedSequence() < highestRead) {
            report(Rule.MONOTONIC_READS, read + " after sequence " + highestRead + " was read");
        }
    }

    /** Maps each time of an acknowledgement to the highest sequence acknowledged until then. */
    private static TreeMap<Long, Long> highestSequenceByEndNanos(List<WriteEvent> writes) {
        List<WriteEvent> ordered = new ArrayList<>(writes);
        ordered.sort(Comparator.comparingLong(WriteEvent::endNanos));
        TreeMap<Long, Long> highest = new TreeMap<>();
        long max = 0;
        for (WriteEvent write : ordered) {
            max = Math.max(max, write.sequence());
            highest.put(write.endNanos(), max);
        }
        return highest;
    }

    private void checkVersions() {
        Map<String, Long> last = new HashMap<>();
        for (VersionEvent event : history.versions()) {
            String key = event.observer() + " " + event.subject();
            long before = last.getOrDefault(key, 0L);
            if (event.version() < before) {
                report(Rule.VERSION_WENT_BACK, event + " after " + before);
            }
            last.put(key, event.version());
        }
    }

    private void report(Rule rule, String detail) {
        violations.add(new Violation(rule, detail));
    }
}
