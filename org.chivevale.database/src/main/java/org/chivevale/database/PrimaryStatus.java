package org.chivevale.database;

import java.util.List;

/**
 * What a primary says of itself and its replicas.
 *
 * <p>Immutable.
 *
 * @param position its log position
 * @param timeline its timeline
 * @param replicaPositions for each connected replica the position that it holds
 */
public record PrimaryStatus(long position, long timeline, List<Long> replicaPositions) {
    public PrimaryStatus {
        replicaPositions = List.copyOf(replicaPositions);
    }

    /**
     * Counts the replicas that hold a position.
     *
     * @param wanted the position
     * @return how many
     */
    public int replicasHolding(long wanted) {
        return (int) replicaPositions.stream().filter(position -> position >= wanted).count();
    }
}
