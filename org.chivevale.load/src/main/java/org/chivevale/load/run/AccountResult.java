package org.chivevale.load.run;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The results of the requests of one client account.
 *
 * <p>Written by one thread; others may read it after the run.
 */
public final class AccountResult {
    private static final long MAX_TRACKED_MICROS = 120_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram latencyMicros = new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);
    private final Map<Integer, Long> codes = new TreeMap<>();
    private long operations;
    private long withinObjective;
    private long agedReads;
    private long agedReplicaReads;
    private long sessionReads;
    private long sessionReplicaReads;
    private long wrongfulRefusals;
    private long unknownWrites;

    void recordLatency(long micros, long objectiveMicros) {
        latencyMicros.recordValue(Math.min(micros, MAX_TRACKED_MICROS));
        operations++;
        if (micros <= objectiveMicros) {
            withinObjective++;
        }
    }

    void recordNotServed() {
        operations++;
    }

    void recordCode(int code) {
        codes.merge(code, 1L, Long::sum);
    }

    void recordRead(boolean isAged, boolean isReplica) {
        if (isAged) {
            agedReads++;
            agedReplicaReads += isReplica ? 1 : 0;
        } else {
            sessionReads++;
            sessionReplicaReads += isReplica ? 1 : 0;
        }
    }

    void recordWrongfulRefusal() {
        wrongfulRefusals++;
    }

    void recordUnknownWrite() {
        unknownWrites++;
    }

    /**
     * Returns the latency of successful operations, measured from when they were due.
     *
     * @return histogram in microseconds
     */
    public Histogram latencyMicros() {
        return latencyMicros;
    }

    /**
     * Counts responses by result code, retries included.
     *
     * @return responses by code; -1 counts requests without a response
     */
    public Map<Integer, Long> codes() {
        return codes;
    }

    /**
     * Returns the share of operations served within the objective.
     *
     * @return 0 to 1
     */
    public double shareWithinObjective() {
        return operations == 0 ? 1 : (double) withinObjective / operations;
    }

    /**
     * Counts operations that were served or had to be served.
     *
     * @return operations; retries are not counted
     */
    public long operations() {
        return operations;
    }

    /**
     * Counts successful reads with an accepted age.
     *
     * @return reads
     */
    public long agedReads() {
        return agedReads;
    }

    /**
     * Counts successful reads with an accepted age that replicas served.
     *
     * @return reads
     */
    public long agedReplicaReads() {
        return agedReplicaReads;
    }

    /**
     * Counts successful reads of the session's state.
     *
     * @return reads
     */
    public long sessionReads() {
        return sessionReads;
    }

    /**
     * Counts successful reads of the session's state that replicas served.
     *
     * @return reads
     */
    public long sessionReplicaReads() {
        return sessionReplicaReads;
    }

    /**
     * Counts requests within the rate limit that were rejected for exceeding it.
     *
     * @return rejected requests
     */
    public long wrongfulRefusals() {
        return wrongfulRefusals;
    }

    /**
     * Counts writes whose outcome stayed unknown.
     *
     * @return writes
     */
    public long unknownWrites() {
        return unknownWrites;
    }
}
