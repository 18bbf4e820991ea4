package org.chivevale.database;

/**
 * Result of a transaction.
 *
 * <p>Immutable.
 *
 * @param resultsJson the results as the JSON array that is returned to the caller
 * @param repeated true when the results were stored by an earlier run of the same request
 * @param position the log position that covers the commit
 * @param replicasHolding the number of replicas that already hold that position
 */
public record WriteResult(
        byte[] resultsJson, boolean repeated, long position, int replicasHolding) {}
