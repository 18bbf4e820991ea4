package org.chivevale.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.chivevale.load.check.History;
import org.chivevale.load.check.HistoryChecker;
import org.chivevale.load.check.ReadEvent;
import org.chivevale.load.check.StoredRow;
import org.chivevale.load.check.VersionEvent;
import org.chivevale.load.check.Violation;
import org.chivevale.load.check.WriteEvent;
import org.chivevale.load.check.WriteEvent.WriteOutcome;
import org.junit.jupiter.api.Test;

/** Tests that the history checker reports a violation of each rule. */
class HistoryCheckerTest {
    private final History history = new History();

    private static WriteEvent write(long sequence, WriteOutcome outcome, long start, long end) {
        return new WriteEvent("s", sequence, outcome, start, end);
    }

    private static ReadEvent read(long order, long age, long observed, long start) {
        return new ReadEvent("s", order, age, observed, true, start, start + 1, false);
    }

    private List<Violation.Rule> violatedRules(StoredRow... rows) {
        return new HistoryChecker(history, List.of(rows))
                .findViolations().stream().map(Violation::rule).toList();
    }

    @Test
    void aValidHistoryHasNoViolations() {
        history.add(write(1, WriteOutcome.ACKNOWLEDGED, 0, 10));
        history.add(write(2, WriteOutcome.NOT_RUN, 11, 12));
        history.add(write(3, WriteOutcome.UNKNOWN, 13, 14));
        history.add(read(4, ReadEvent.SESSION_READ, 1, 20));
        history.add(read(5, 15, 1, 30));
        history.add(new VersionEvent("proxy", "config", 1));
        history.add(new VersionEvent("proxy", "config", 2));
        assertEquals(List.of(), violatedRules(new StoredRow("s", 1, 1), new StoredRow("s", 3, 1)));
    }

    @Test
    void lostAndDuplicatedWritesAndFalseNotRunOutcomesAreReported() {
        history.add(write(1, WriteOutcome.ACKNOWLEDGED, 0, 10));
        history.add(write(2, WriteOutcome.ACKNOWLEDGED, 0, 10));
        history.add(write(3, WriteOutcome.NOT_RUN, 0, 10));
        assertEquals(
                List.of(
                        Violation.Rule.LOST_WRITE,
                        Violation.Rule.DOUBLED_WRITE,
                        Violation.Rule.UNTRUE_NOT_RUN),
                violatedRules(new StoredRow("s", 2, 2), new StoredRow("s", 3, 1)));
    }

    @Test
    void aReadThatMissesAnAcknowledgedWriteIsReported() {
        history.add(write(1, WriteOutcome.ACKNOWLEDGED, 0, 10));
        history.add(read(2, ReadEvent.SESSION_READ, 0, 20));
        assertEquals(
                List.of(Violation.Rule.READ_YOUR_WRITES), violatedRules(new StoredRow("s", 1, 1)));
    }

    @Test
    void aReadOlderThanItsAcceptedAgeIsReportedAndAFresherOneIsNot() {
        history.add(write(1, WriteOutcome.ACKNOWLEDGED, 0, 10));
        history.add(read(2, 50, 0, 40));
        history.add(read(3, 5, 0, 41));
        assertEquals(List.of(Violation.Rule.TOO_OLD), violatedRules(new StoredRow("s", 1, 1)));
    }

    @Test
    void aNonMonotonicReadIsReportedUnlessTheSessionWasRestarted() {
        history.add(read(1, ReadEvent.SESSION_READ, 5, 10));
        history.add(read(2, ReadEvent.SESSION_READ, 4, 20));
        assertEquals(List.of(Violation.Rule.MONOTONIC_READS), violatedRules());
        History restarted = new History();
        restarted.add(read(1, ReadEvent.SESSION_READ, 5, 10));
        restarted.add(new ReadEvent("s", 2, ReadEvent.SESSION_READ, 4, true, 20, 21, true));
        assertEquals(List.of(), new HistoryChecker(restarted, List.of()).findViolations());
    }

    @Test
    void mismatchedResponsesAndDecreasingVersionsAreReported() {
        history.add(new ReadEvent("s", 1, ReadEvent.SESSION_READ, 0, false, 1, 2, false));
        history.add(new VersionEvent("proxy", "config", 3));
        history.add(new VersionEvent("proxy", "config", 2));
        assertEquals(
                List.of(Violation.Rule.CROSSED_ANSWER, Violation.Rule.VERSION_WENT_BACK),
                violatedRules());
    }
}
