package org.chivevale.database;

/**
 * Record that deduplicates a request, so that it runs at most once.
 *
 * <p>Immutable.
 *
 * @param requestId the caller's id, unique for the client account
 * @param bodyHash distinguishes a retry from another request with the same id
 * @param createdUnixMillis the creation time that is part of the id
 */
public record RequestRecord(String requestId, String bodyHash, long createdUnixMillis) {}
