package org.chivevale.database;

import java.util.List;

/**
 * Status of a primary and its replicas as the primary reports it.
 *
 * <p>Immutable.
 *
 * @param position its log position
 * @param timeline its timeline
 * @param replicaPositions for each connected replica the position up to which it holds the log
 */
public record PrimaryStatus(long position, long timeline, List<Long> replicaPositions) {
    public PrimaryStatus {
        replicaPositions = List.copyOf(replicaPositions);
    }

    /**
     * Counts the replicas that hold the log up to a position.
     *
     * @param wanted the log position
     * @return the number of replicas
     */
    public int replicasHolding(long wanted) {
        return (int) replicaPositions.stream().filter(position -> position >= wanted).count();
    }
}
