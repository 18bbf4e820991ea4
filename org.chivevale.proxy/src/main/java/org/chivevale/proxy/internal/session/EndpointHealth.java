package org.chivevale.proxy.internal.session;

import org.chivevale.core.group.TermPosition;
import org.chivevale.database.session.EndpointReply;

/**
 * The health, response time and log position of an endpoint, as seen by this proxy's traffic to it.
 *
 * <p>Times are on the process's monotonic clock. Not thread safe.
 */
final class EndpointHealth {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Weight of a new sample in the moving average of response times. */
    private static final double RESPONSE_WEIGHT = 0.1;

    private static final double INITIAL_RESPONSE_MILLIS = 20;
    private static final long BUSY_AVOID_NANOS = 20 * NANOS_PER_MILLI;
    private static final long BEHIND_AVOID_NANOS = 100 * NANOS_PER_MILLI;
    private static final long FAILED_AVOID_NANOS = 100 * NANOS_PER_MILLI;
    private static final long UNREACHABLE_AVOID_NANOS = 500 * NANOS_PER_MILLI;
    private static final int MIN_SUSPECT_FAILURES = 2;

    private double responseMillis = INITIAL_RESPONSE_MILLIS;
    private TermPosition position = TermPosition.NONE;
    private long avoidUntilNanos;
    private long lastReplyNanos;
    private long failingSinceNanos;
    private int failures;
    private int inFlight;
    private long silentSinceNanos;

    EndpointHealth(long nowNanos) {
        avoidUntilNanos = nowNanos;
        lastReplyNanos = nowNanos;
        failingSinceNanos = nowNanos;
        silentSinceNanos = nowNanos;
    }

    /** Records that a statement was sent and is in flight. */
    void recordSent(long nowNanos) {
        if (inFlight == 0) {
            silentSinceNanos = nowNanos;
        }
        inFlight++;
    }

    /** Records that a statement in flight has ended, successfully or not. */
    void recordEnded() {
        inFlight--;
    }

    /** Returns the number of statements in flight. */
    int inFlight() {
        return inFlight;
    }

    void recordReply(EndpointReply reply, long sentAtNanos, long nowNanos) {
        lastReplyNanos = nowNanos;
        silentSinceNanos = nowNanos;
        failures = 0;
        if (reply.position() != null) {
            position = position.max(reply.position());
        }
        switch (reply.reply()) {
            case SUCCESS -> {
                double elapsedMillis = (double) (nowNanos - sentAtNanos) / NANOS_PER_MILLI;
                responseMillis += RESPONSE_WEIGHT * (elapsedMillis - responseMillis);
            }
            case BUSY, CONNECTIONS_EXHAUSTED -> avoidUntil(nowNanos + BUSY_AVOID_NANOS);
            case BEHIND -> avoidUntil(nowNanos + BEHIND_AVOID_NANOS);
            case OTHER_ENDPOINT -> avoidUntil(nowNanos + UNREACHABLE_AVOID_NANOS);
            case FAILED, TIMED_OUT -> avoidUntil(nowNanos + FAILED_AVOID_NANOS);
            default -> {
                // The other replies say nothing about the endpoint's health.
            }
        }
    }

    /** Records that a connection host had no capacity, which says nothing about failures. */
    void recordBusyHost(long nowNanos) {
        avoidUntil(nowNanos + BUSY_AVOID_NANOS);
    }

    void recordUnreachable(long nowNanos) {
        recordFailure(nowNanos);
        avoidUntil(nowNanos + UNREACHABLE_AVOID_NANOS);
    }

    void recordLost(long nowNanos) {
        recordFailure(nowNanos);
        avoidUntil(nowNanos + FAILED_AVOID_NANOS);
    }

    private void recordFailure(long nowNanos) {
        if (failures == 0) {
            failingSinceNanos = nowNanos;
        }
        failures++;
    }

    private void avoidUntil(long untilNanos) {
        if (untilNanos - avoidUntilNanos > 0) {
            avoidUntilNanos = untilNanos;
        }
    }

    boolean isAvoided(long nowNanos, long maxSilenceNanos) {
        return nowNanos - avoidUntilNanos < 0 || silenceNanos(nowNanos) > maxSilenceNanos;
    }

    /** Returns for how long statements have been in flight without any reply, or 0 without such. */
    long silenceNanos(long nowNanos) {
        return inFlight == 0 ? 0 : nowNanos - silentSinceNanos;
    }

    /** Returns true when the last attempt failed without a reply. */
    boolean isFailing() {
        return failures > 0;
    }

    /** Returns true when attempts have kept failing, or statements stay without a reply. */
    boolean isSuspect(long nowNanos, long maxSilenceNanos, long maxFailingNanos) {
        boolean failing =
                failures >= MIN_SUSPECT_FAILURES && nowNanos - failingSinceNanos > maxFailingNanos;
        return failing || silenceNanos(nowNanos) > maxSilenceNanos;
    }

    boolean hasRepliedSince(long nanos) {
        return lastReplyNanos - nanos >= 0;
    }

    double responseMillis() {
        return responseMillis;
    }

    TermPosition position() {
        return position;
    }
}
