package org.chivevale.proxy.internal.session;

import org.chivevale.core.group.TermPosition;
import org.chivevale.database.session.EndpointReply;

/**
 * The health, response time and log position of an endpoint, as seen by this proxy's traffic to it.
 *
 * <p>Invariant: only a reply of the endpoint itself is a sign of its life; another endpoint at its
 * address, or a listener that accepts no connection, is none. Times are on the process's monotonic
 * clock. Not thread safe.
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

    /** Time after which a refusal of a write no longer shows that the endpoint is a replica. */
    private static final long REFUSAL_TTL_NANOS = 2_000 * NANOS_PER_MILLI;

    private double responseMillis = INITIAL_RESPONSE_MILLIS;
    private TermPosition position = TermPosition.NONE;
    private long avoidUntilNanos;
    private long lastReplyNanos;
    private final FailureRun failures = new FailureRun();
    private final FailureRun refusals = new FailureRun();
    private int inFlight;
    private long silentSinceNanos;

    /** Failures in a row. */
    private static final class FailureRun {
        private int count;
        private long firstNanos;
        private long lastNanos;

        void record(long nowNanos) {
            if (count == 0) {
                firstNanos = nowNanos;
            }
            count++;
            lastNanos = nowNanos;
        }

        void clear() {
            count = 0;
        }

        boolean hasLasted(long minNanos, long nowNanos) {
            return count >= MIN_SUSPECT_FAILURES && nowNanos - firstNanos > minNanos;
        }

        boolean isOlderThan(long ttlNanos, long nowNanos) {
            return nowNanos - lastNanos > ttlNanos;
        }
    }

    EndpointHealth(long nowNanos) {
        avoidUntilNanos = nowNanos;
        lastReplyNanos = nowNanos;
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

    /** Records a reply; where it does not come from the endpoint itself, it is no sign of life. */
    void recordReply(EndpointReply reply, long sentAtNanos, long nowNanos) {
        switch (reply.reply()) {
            case OTHER_ENDPOINT, UNREACHABLE -> recordUnreachable(nowNanos);
            case LOST -> recordLost(nowNanos);
            case CONNECTIONS_EXHAUSTED -> {
                // A listener may answer so before it checks which endpoint is expected.
                silentSinceNanos = nowNanos;
                avoidUntil(nowNanos + BUSY_AVOID_NANOS);
            }
            default -> recordOwnReply(reply, sentAtNanos, nowNanos);
        }
    }

    private void recordOwnReply(EndpointReply reply, long sentAtNanos, long nowNanos) {
        lastReplyNanos = nowNanos;
        silentSinceNanos = nowNanos;
        failures.clear();
        if (reply.position() != null) {
            position = position.max(reply.position());
        }
        switch (reply.reply()) {
            case SUCCESS -> {
                double elapsedMillis = (double) (nowNanos - sentAtNanos) / NANOS_PER_MILLI;
                responseMillis += RESPONSE_WEIGHT * (elapsedMillis - responseMillis);
            }
            case BUSY -> avoidUntil(nowNanos + BUSY_AVOID_NANOS);
            case BEHIND -> avoidUntil(nowNanos + BEHIND_AVOID_NANOS);
            case NOT_PRIMARY -> recordRefusal(nowNanos);
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
        failures.record(nowNanos);
        avoidUntil(nowNanos + UNREACHABLE_AVOID_NANOS);
    }

    void recordLost(long nowNanos) {
        failures.record(nowNanos);
        avoidUntil(nowNanos + FAILED_AVOID_NANOS);
    }

    /** Records that the endpoint refused a write; reads that it answers do not contradict that. */
    private void recordRefusal(long nowNanos) {
        if (refusals.isOlderThan(REFUSAL_TTL_NANOS, nowNanos)) {
            refusals.clear();
        }
        refusals.record(nowNanos);
    }

    /** Forgets failures from before the endpoint became the primary of the present term. */
    void onNewTerm() {
        failures.clear();
        refusals.clear();
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
        return failures.count > 0;
    }

    /**
     * Returns true when an endpoint that should be a primary is not: attempts have kept failing,
     * statements stay without a reply, or it keeps refusing writes as a replica does.
     */
    boolean isSuspect(long nowNanos, long maxSilenceNanos, long maxFailingNanos) {
        boolean refusesWrites =
                refusals.hasLasted(maxFailingNanos, nowNanos)
                        && !refusals.isOlderThan(REFUSAL_TTL_NANOS, nowNanos);
        return failures.hasLasted(maxFailingNanos, nowNanos)
                || refusesWrites
                || silenceNanos(nowNanos) > maxSilenceNanos;
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
