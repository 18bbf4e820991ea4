package org.chivevale.consensus.raft;

/**
 * Periods of the replicated log.
 *
 * <p>Immutable. Invariant: a leader's lease is shorter than the silence that followers wait for, so
 * two members never hold a lease at once.
 *
 * @param heartbeatMillis how often an idle leader sends
 * @param electionMinMillis silence after which a follower may vote for another member
 * @param electionMaxMillis longest silence before a follower stands for election
 * @param leaseMarginMillis by how much a leader's lease ends before a follower may vote
 * @param replaceAfterMillis silence after which a voter's place goes to a learner
 * @param voters how many voters there should be
 */
public record RaftTiming(
        int heartbeatMillis,
        int electionMinMillis,
        int electionMaxMillis,
        int leaseMarginMillis,
        int replaceAfterMillis,
        int voters) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Checks the order of the periods. */
    public RaftTiming {
        boolean ordered =
                heartbeatMillis < electionMinMillis
                        && electionMinMillis < electionMaxMillis
                        && leaseMarginMillis < electionMinMillis;
        if (!ordered) {
            throw new IllegalArgumentException("periods out of order");
        }
    }

    long heartbeatNanos() {
        return heartbeatMillis * NANOS_PER_MILLI;
    }

    long electionMinNanos() {
        return electionMinMillis * NANOS_PER_MILLI;
    }

    long electionSpreadNanos() {
        return (electionMaxMillis - electionMinMillis) * NANOS_PER_MILLI;
    }

    long leaseNanos() {
        return (electionMinMillis - leaseMarginMillis) * NANOS_PER_MILLI;
    }

    long replaceAfterNanos() {
        return replaceAfterMillis * NANOS_PER_MILLI;
    }
}
