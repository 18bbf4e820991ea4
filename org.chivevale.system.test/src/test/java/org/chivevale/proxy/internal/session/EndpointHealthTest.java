package org.chivevale.proxy.internal.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.chivevale.core.interactive.Reply;
import org.chivevale.database.session.EndpointReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a lost primary that nobody suspects since something else answers in its place:
 * another endpoint at its address, a full listener, or the endpoint itself as a replica.
 */
class EndpointHealthTest {
    private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long MAX_SILENCE_NANOS = 700 * MILLI_NANOS;
    private static final long MAX_FAILING_NANOS = 150 * MILLI_NANOS;
    private static final long START_NANOS = TimeUnit.HOURS.toNanos(1);

    private final EndpointHealth health = new EndpointHealth(START_NANOS);
    private long nowNanos = START_NANOS;

    /** Records replies of one kind, one every 50 ms. */
    private void receive(Reply reply, int count) {
        for (int i = 0; i < count; i++) {
            nowNanos += 50 * MILLI_NANOS;
            health.recordReply(EndpointReply.withoutResponse(reply, ""), nowNanos, nowNanos);
        }
    }

    private boolean isSuspect() {
        return health.isSuspect(nowNanos, MAX_SILENCE_NANOS, MAX_FAILING_NANOS);
    }

    @ParameterizedTest
    @EnumSource(names = {"OTHER_ENDPOINT", "UNREACHABLE", "LOST", "NOT_PRIMARY"})
    void aPrimaryInWhosePlaceNobodyServesIsSuspect(Reply reply) {
        receive(Reply.SUCCESS, 3);
        receive(reply, 1);
        assertFalse(isSuspect());
        receive(reply, 5);
        assertTrue(isSuspect());
    }

    @ParameterizedTest
    @EnumSource(names = {"OTHER_ENDPOINT", "CONNECTIONS_EXHAUSTED", "UNREACHABLE", "LOST"})
    void whatTheEndpointDidNotAnswerItselfIsNoSignOfItsLife(Reply reply) {
        receive(Reply.SUCCESS, 1);
        long lastOwnNanos = nowNanos;
        receive(reply, 5);
        assertTrue(health.hasRepliedSince(lastOwnNanos));
        assertFalse(health.hasRepliedSince(lastOwnNanos + 1));
    }

    @Test
    void aFullListenerNeitherClearsNorRaisesASuspicion() {
        receive(Reply.CONNECTIONS_EXHAUSTED, 10);
        assertFalse(isSuspect());
        receive(Reply.UNREACHABLE, 5);
        receive(Reply.CONNECTIONS_EXHAUSTED, 10);
        assertTrue(isSuspect());
    }

    @ParameterizedTest
    @EnumSource(names = {"SUCCESS", "BUSY", "BEHIND", "FAILED", "TIMED_OUT", "REFUSED"})
    void aPrimaryThatAnswersItselfIsNotSuspect(Reply reply) {
        receive(Reply.OTHER_ENDPOINT, 5);
        receive(reply, 1);
        assertFalse(isSuspect());
        receive(reply, 20);
        assertFalse(isSuspect());
    }

    /** A primary that has become a replica still answers reads. */
    @Test
    void readsThatAreAnsweredDoNotHideThatWritesAreRefused() {
        for (int i = 0; i < 5; i++) {
            receive(Reply.NOT_PRIMARY, 1);
            receive(Reply.SUCCESS, 1);
        }
        assertTrue(isSuspect());
    }

    @Test
    void oldRefusalsAreForgotten() {
        receive(Reply.NOT_PRIMARY, 5);
        nowNanos += TimeUnit.SECONDS.toNanos(3);
        assertFalse(isSuspect());
        receive(Reply.NOT_PRIMARY, 1);
        assertFalse(isSuspect());
    }

    /** Otherwise a new primary is replaced at once for what happened to it as a replica. */
    @Test
    void failuresOfAnEarlierTermDoNotMakeANewPrimarySuspect() {
        receive(Reply.UNREACHABLE, 5);
        receive(Reply.NOT_PRIMARY, 5);
        health.onNewTerm();
        assertFalse(isSuspect());
        receive(Reply.UNREACHABLE, 1);
        assertFalse(isSuspect());
    }

    /** The port accepts connections and says nothing; each statement ends at its timeout. */
    @Test
    void aPortThatAcceptsAndSaysNothingIsSuspect() {
        health.recordSent(nowNanos);
        nowNanos += 800 * MILLI_NANOS;
        assertTrue(isSuspect());
        health.recordEnded();
        receive(Reply.LOST, 1);
        health.recordSent(nowNanos);
        nowNanos += 200 * MILLI_NANOS;
        health.recordEnded();
        receive(Reply.LOST, 1);
        assertTrue(isSuspect());
        assertEquals(0, health.inFlight());
    }
}
