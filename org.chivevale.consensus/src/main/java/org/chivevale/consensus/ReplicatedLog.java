package org.chivevale.consensus;

import java.util.List;
import java.util.function.Consumer;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.RaftMessage;

/**
 * The log that the control processes replicate.
 *
 * <p>Contract: an entry is committed once a majority has synced it; all processes apply the entries
 * in the same order. Called by one thread, which also runs the callbacks.
 */
public interface ReplicatedLog {
    /** The outcome of an append. */
    enum AppendResult {
        /** The entry is committed and took effect. */
        APPLIED,
        /** The entry is committed but had no effect: an earlier entry superseded it. */
        SUPERSEDED,
        /** The entry is committed but could not be applied. */
        FAILED,
        /**
         * This process is not the leader or lost leadership; the entry may still be committed
         * later.
         */
        NOT_LEADER
    }

    /**
     * Appends an entry.
     *
     * @param payload the serialized entry
     * @param done receives the outcome
     */
    void append(byte[] payload, Consumer<AppendResult> done);

    /**
     * Tells whether this process is the leader and holds its lease.
     *
     * @return true while a majority has acknowledged it as leader within the lease
     */
    boolean isLeader();

    /**
     * Returns when the last earlier leader had ended at the latest.
     *
     * @param leaderSinceNanos when this process became leader, on the monotonic clock
     * @return that time, or an earlier one where it is known that no other process led before
     */
    default long earlierLeaderEndNanos(long leaderSinceNanos) {
        return leaderSinceNanos;
    }

    /**
     * Returns the leader, to which operators and proxies send their requests.
     *
     * @return its address, or its id in a deployment with one process; empty when none is known
     */
    String leader();

    /**
     * Lists the addresses of the processes that may become leader.
     *
     * @return the leader first, if it is known
     */
    default List<String> memberAddresses() {
        return List.of();
    }

    /** Runs due timers: heartbeats, election timeouts, membership changes. */
    default void tick() {}

    /**
     * Handles a message from another member.
     *
     * @param message the received message
     */
    default void receive(RaftMessage message) {}

    /**
     * Replaces the seeds, which a member without a leader asks to join the log.
     *
     * @param addresses where the seeds receive log messages
     */
    default void setSeeds(List<HostPort> addresses) {}

    /** Transfers leadership to another member before the process stops. */
    default void transferLeadership() {}

    /** Stops the log; no entry is applied afterwards. */
    void close();
}
