package org.chivevale.proxy.internal.session;

import org.chivevale.core.group.TermPosition;
import org.chivevale.database.session.EndpointReply;

/**
 * What a proxy has learned of an endpoint from the traffic it carries.
 *
 * <p>Times are on the process's clock. Not thread safe.
 */
final class EndpointHealth {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double WEIGHT = 0.1;
    private static final double FIRST_RESPONSE_MILLIS = 20;
    private static final long BUSY_AVOID_NANOS = 20 * NANOS_PER_MILLI;
    private static final long BEHIND_AVOID_NANOS = 100 * NANOS_PER_MILLI;
    private static final long FAILED_AVOID_NANOS = 100 * NANOS_PER_MILLI;
    private static final long UNREACHABLE_AVOID_NANOS = 500 * NANOS_PER_MILLI;
    private static final int SUSPECT_FAILURES = 2;

    private double responseMillis = FIRST_RESPONSE_MILLIS;
    private TermPosition position = TermPosition.NONE;
    private long avoidUntilNanos;
    private long answeredNanos;
    private long failingSinceNanos;
    private int failures;
    private int outstanding;
    private long silentSinceNanos;

    EndpointHealth(long nowNanos) {
        avoidUntilNanos = nowNanos;
        answeredNanos = nowNanos;
        failingSinceNanos = nowNanos;
        silentSinceNanos = nowNanos;
    }

    /** Notes that a statement was sent and is open. */
    void sent(long nowNanos) {
        if (outstanding == 0) {
            silentSinceNanos = nowNanos;
        }
        outstanding++;
    }

    /** Notes that an open statement has ended, whatever way. */
    void ended() {
        outstanding--;
    }

    void answered(EndpointReply reply, long sentNanos, long nowNanos) {
        answeredNanos = nowNanos;
        silentSinceNanos = nowNanos;
        failures = 0;
        if (reply.position() != null) {
            position = position.max(reply.position());
        }
        switch (reply.reply()) {
            case SUCCESS -> {
                double tookMillis = (double) (nowNanos - sentNanos) / NANOS_PER_MILLI;
                responseMillis += WEIGHT * (tookMillis - responseMillis);
            }
            case BUSY, CONNECTIONS_EXHAUSTED -> avoid(nowNanos + BUSY_AVOID_NANOS);
            case BEHIND -> avoid(nowNanos + BEHIND_AVOID_NANOS);
            case OTHER_ENDPOINT -> avoid(nowNanos + UNREACHABLE_AVOID_NANOS);
            case FAILED, TIMED_OUT -> avoid(nowNanos + FAILED_AVOID_NANOS);
            default -> {
                // Says nothing about the endpoint's health.
            }
        }
    }

    void unreachable(long nowNanos) {
        failed(nowNanos);
        avoid(nowNanos + UNREACHABLE_AVOID_NANOS);
    }

    void lost(long nowNanos) {
        failed(nowNanos);
        avoid(nowNanos + FAILED_AVOID_NANOS);
    }

    private void failed(long nowNanos) {
        if (failures == 0) {
            failingSinceNanos = nowNanos;
        }
        failures++;
    }

    private void avoid(long untilNanos) {
        if (untilNanos - avoidUntilNanos > 0) {
            avoidUntilNanos = untilNanos;
        }
    }

    boolean avoided(long nowNanos, long silenceNanos) {
        return nowNanos - avoidUntilNanos < 0 || silentFor(nowNanos) > silenceNanos;
    }

    /** How long statements have been open without any answer from the endpoint. */
    long silentFor(long nowNanos) {
        return outstanding == 0 ? 0 : nowNanos - silentSinceNanos;
    }

    /** True when connections have been failing for a while, or statements stay unanswered. */
    boolean suspect(long nowNanos, long silenceNanos, long failingNanos) {
        boolean failing =
                failures >= SUSPECT_FAILURES && nowNanos - failingSinceNanos > failingNanos;
        return failing || silentFor(nowNanos) > silenceNanos;
    }

    boolean answeredSince(long nanos) {
        return answeredNanos - nanos >= 0;
    }

    double responseMillis() {
        return responseMillis;
    }

    TermPosition position() {
        return position;
    }
}
