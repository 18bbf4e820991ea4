package org.chivevale.database;

/**
 * What a transaction gave.
 *
 * <p>Immutable.
 *
 * @param resultsJson the results as the JSON array that the caller gets
 * @param repeated true when the results are those of an earlier run of the same request
 * @param position the log position that covers the commit
 * @param replicasHolding how many replicas hold that position already
 */
public record WriteAnswer(
        byte[] resultsJson, boolean repeated, long position, int replicasHolding) {}
