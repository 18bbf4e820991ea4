package org.chivevale.database;

/**
 * Identifies a request that runs at most once.
 *
 * <p>Immutable.
 *
 * @param requestId the caller's id, unique for the client account
 * @param bodyHash tells a repeat from another request with the same id
 * @param createdUnixMillis the time in the id
 */
public record RequestRecord(String requestId, String bodyHash, long createdUnixMillis) {}
