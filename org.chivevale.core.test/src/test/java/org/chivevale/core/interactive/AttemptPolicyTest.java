package org.chivevale.core.interactive;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.Set;
import org.chivevale.core.interactive.AttemptPolicy.Decision;
import org.chivevale.core.interactive.AttemptPolicy.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the decisions for combinations of effect and reply. */
class AttemptPolicyTest {
    private static final Set<Effect> COMMITTED_WHEN_RUN =
            EnumSet.of(Effect.SINGLE_WRITE, Effect.COMMIT);

    @ParameterizedTest
    @CsvSource({
        "SINGLE_READ,     SUCCESS, DELIVER, , true",
        "SINGLE_READ,     BUSY, RETRY_ELSEWHERE, BUSY, true",
        "SINGLE_READ,     UNKNOWN_PREPARED, PREPARE, UNKNOWN_PREPARED, true",
        "SINGLE_READ,     BEHIND, RETRY_ELSEWHERE, BEHIND, true",
        "SINGLE_READ,     NOT_PRIMARY, RETRY_ELSEWHERE, NOT_PRIMARY, true",
        "SINGLE_READ,     OTHER_ENDPOINT, RETRY_ELSEWHERE, ABORTED, false",
        "SINGLE_READ,     CONNECTIONS_EXHAUSTED, RETRY_ELSEWHERE, ABORTED, false",
        "SINGLE_READ,     UNREACHABLE, RETRY_ELSEWHERE, ABORTED, false",
        "SINGLE_READ,     REFUSED, FAIL, ABORTED, false",
        "SINGLE_READ,     FAILED, RETRY_ELSEWHERE, FAILED, true",
        "SINGLE_READ,     TIMED_OUT, RETRY_ELSEWHERE, TIMED_OUT, true",
        "SINGLE_READ,     LOST, RETRY_ELSEWHERE, ABORTED, false",
        "SINGLE_WRITE,    SUCCESS, DELIVER, , true",
        "SINGLE_WRITE,    BUSY, RETRY_ELSEWHERE, BUSY, true",
        "SINGLE_WRITE,    UNKNOWN_PREPARED, PREPARE, UNKNOWN_PREPARED, true",
        "SINGLE_WRITE,    BEHIND, RETRY_ELSEWHERE, BEHIND, true",
        "SINGLE_WRITE,    NOT_PRIMARY, RETRY_ELSEWHERE, NOT_PRIMARY, true",
        "SINGLE_WRITE,    OTHER_ENDPOINT, RETRY_ELSEWHERE, ABORTED, false",
        "SINGLE_WRITE,    CONNECTIONS_EXHAUSTED, RETRY_ELSEWHERE, ABORTED, false",
        "SINGLE_WRITE,    UNREACHABLE, RETRY_ELSEWHERE, ABORTED, false",
        "SINGLE_WRITE,    REFUSED, FAIL, ABORTED, false",
        "SINGLE_WRITE,    FAILED, FAIL, FAILED, true",
        "SINGLE_WRITE,    TIMED_OUT, FAIL, TIMED_OUT, true",
        "SINGLE_WRITE,    LOST, FAIL, IN_DOUBT, false",
        "BEGIN,           SUCCESS, DELIVER, , true",
        "BEGIN,           BUSY, RETRY_ELSEWHERE, BUSY, true",
        "BEGIN,           BEHIND, RETRY_ELSEWHERE, BEHIND, true",
        "BEGIN,           NOT_PRIMARY, RETRY_ELSEWHERE, NOT_PRIMARY, true",
        "BEGIN,           UNREACHABLE, RETRY_ELSEWHERE, ABORTED, false",
        "BEGIN,           LOST, RETRY_ELSEWHERE, ABORTED, false",
        "IN_TRANSACTION,  SUCCESS, DELIVER, , true",
        "IN_TRANSACTION,  BUSY, RETRY_SAME_ENDPOINT, BUSY, true",
        "IN_TRANSACTION,  UNKNOWN_PREPARED, PREPARE, UNKNOWN_PREPARED, true",
        "IN_TRANSACTION,  BEHIND, FAIL, BEHIND, true",
        "IN_TRANSACTION,  NOT_PRIMARY, FAIL, NOT_PRIMARY, true",
        "IN_TRANSACTION,  UNREACHABLE, FAIL, ABORTED, false",
        "IN_TRANSACTION,  REFUSED, FAIL, ABORTED, false",
        "IN_TRANSACTION,  FAILED, FAIL, FAILED, true",
        "IN_TRANSACTION,  TIMED_OUT, FAIL, TIMED_OUT, true",
        "IN_TRANSACTION,  LOST, FAIL, ABORTED, false",
        "COMMIT,          SUCCESS, DELIVER, , true",
        "COMMIT,          BUSY, RETRY_SAME_ENDPOINT, BUSY, true",
        "COMMIT,          NOT_PRIMARY, FAIL, NOT_PRIMARY, false",
        "COMMIT,          UNREACHABLE, FAIL, ABORTED, false",
        "COMMIT,          REFUSED, FAIL, ABORTED, false",
        "COMMIT,          FAILED, FAIL, FAILED, true",
        "COMMIT,          TIMED_OUT, FAIL, TIMED_OUT, true",
        "COMMIT,          LOST, FAIL, IN_DOUBT, false",
        "COMMIT_OF_READS, SUCCESS, DELIVER, , true",
        "COMMIT_OF_READS, BUSY, RETRY_SAME_ENDPOINT, BUSY, true",
        "COMMIT_OF_READS, LOST, FAIL, ABORTED, false",
    })
    void decidesByEffectAndReply(
            Effect effect, Reply reply, Step step, SessionError error, boolean keepConnection) {
        assertEquals(
                new Decision(step, error, keepConnection), AttemptPolicy.decide(effect, reply));
    }

    @Test
    void aWriteThatMayHaveRunIsNeverRetriedNorReportedAsWithoutEffect() {
        for (Effect effect : COMMITTED_WHEN_RUN) {
            for (Reply reply : Reply.values()) {
                Decision decision = AttemptPolicy.decide(effect, reply);
                if (reply.mayHaveRun() && reply != Reply.SUCCESS) {
                    assertEquals(Step.FAIL, decision.step(), effect + " " + reply);
                    assertFalse(decision.error().guaranteesNoEffect(), effect + " " + reply);
                }
            }
        }
    }

    @Test
    void aStatementOfATransactionNeverMovesToAnotherConnection() {
        for (Effect effect :
                EnumSet.of(Effect.IN_TRANSACTION, Effect.COMMIT, Effect.COMMIT_OF_READS)) {
            for (Reply reply : Reply.values()) {
                assertNotEquals(Step.RETRY_ELSEWHERE, AttemptPolicy.decide(effect, reply).step());
            }
        }
    }

    @Test
    void aConnectionWithoutACompleteResponseIsClosed() {
        for (Effect effect : Effect.values()) {
            assertFalse(AttemptPolicy.decide(effect, Reply.LOST).keepConnection());
            assertTrue(AttemptPolicy.decide(effect, Reply.SUCCESS).keepConnection());
        }
    }
}
