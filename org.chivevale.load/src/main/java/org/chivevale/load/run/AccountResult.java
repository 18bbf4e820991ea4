package org.chivevale.load.run;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What the callers of one client account got.
 *
 * <p>Used by one thread, read by others after the run.
 */
public final class AccountResult {
    private static final long HIGHEST_MICROS = 120_000_000;
    private static final int DIGITS = 3;

    private final Histogram latencyMicros = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Map<Integer, Long> codes = new TreeMap<>();
    private long operations;
    private long withinObjective;
    private long agedReads;
    private long agedReplicaReads;
    private long sessionReads;
    private long sessionReplicaReads;
    private long wrongfulRefusals;
    private long unknown;

    void latency(long micros, long objectiveMicros) {
        latencyMicros.recordValue(Math.min(micros, HIGHEST_MICROS));
        operations++;
        if (micros <= objectiveMicros) {
            withinObjective++;
        }
    }

    void notServed() {
        operations++;
    }

    void code(int code) {
        codes.merge(code, 1L, Long::sum);
    }

    void read(boolean aged, boolean replica) {
        if (aged) {
            agedReads++;
            agedReplicaReads += replica ? 1 : 0;
        } else {
            sessionReads++;
            sessionReplicaReads += replica ? 1 : 0;
        }
    }

    void wrongfulRefusal() {
        wrongfulRefusals++;
    }

    void unknown() {
        unknown++;
    }

    /**
     * Returns the times of answers.
     *
     * @return microseconds
     */
    public Histogram latencyMicros() {
        return latencyMicros;
    }

    /**
     * Counts answers by code; an answer that never came has code -1.
     *
     * @return answers by code
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
     * Counts operations that were to be served.
     *
     * @return requests, without their repeats
     */
    public long operations() {
        return operations;
    }

    /**
     * Counts reads that accept an age.
     *
     * @return answered ones
     */
    public long agedReads() {
        return agedReads;
    }

    /**
     * Counts reads that accept an age and were served by replicas.
     *
     * @return answered ones
     */
    public long agedReplicaReads() {
        return agedReplicaReads;
    }

    /**
     * Counts reads of the session's state.
     *
     * @return answered ones
     */
    public long sessionReads() {
        return sessionReads;
    }

    /**
     * Counts reads of the session's state that were served by replicas.
     *
     * @return answered ones
     */
    public long sessionReplicaReads() {
        return sessionReplicaReads;
    }

    /**
     * Counts refusals for the rate of requests that were inside it.
     *
     * @return refusals
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
        return unknown;
    }
}
