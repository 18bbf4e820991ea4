package org.chivevale.consensus.raft;

/**
 * Timeouts and size of the replicated log.
 *
 * <p>Immutable. Invariant: a leader's lease is shorter than the minimum election timeout, so two
 * members never hold a lease at once.
 *
 * @param heartbeatMillis interval at which an idle leader sends heartbeats
 * @param electionMinMillis minimum election timeout; a follower votes for no other member earlier
 * @param electionMaxMillis maximum election timeout
 * @param leaseMarginMillis by how much the leader's lease ends before a follower may vote
 * @param replaceAfterMillis silence after which a voter may be replaced by a learner
 * @param voters number of voters that the membership changes aim at
 */
public record RaftTiming(
        int heartbeatMillis,
        int electionMinMillis,
        int electionMaxMillis,
        int leaseMarginMillis,
        int replaceAfterMillis,
        int voters) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Rejects timeouts that break the lease invariant. */
    public RaftTiming {
        boolean ordered =
                heartbeatMillis < electionMinMillis
                        && electionMinMillis < electionMaxMillis
                        && leaseMarginMillis < electionMinMillis;
        if (!ordered) {
            throw new IllegalArgumentException(
                    "heartbeat and lease margin must be below the minimum election timeout, and that"
                            + " below the maximum");
        }
    }

    long heartbeatNanos() {
        return heartbeatMillis * NANOS_PER_MILLI;
    }

    long electionMinNanos() {
        return electionMinMillis * NANOS_PER_MILLI;
    }

    long electionJitterNanos() {
        return (electionMaxMillis - electionMinMillis) * NANOS_PER_MILLI;
    }

    long leaseNanos() {
        return (electionMinMillis - leaseMarginMillis) * NANOS_PER_MILLI;
    }

    long replaceAfterNanos() {
        return replaceAfterMillis * NANOS_PER_MILLI;
    }
}
