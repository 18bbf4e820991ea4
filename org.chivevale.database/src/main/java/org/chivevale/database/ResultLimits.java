package org.chivevale.database;

/**
 * Limits on the size of one request's results.
 *
 * <p>Immutable.
 *
 * @param maxRows total number of rows of all statements
 * @param maxBytes total size of the encoded rows of all statements
 */
public record ResultLimits(int maxRows, int maxBytes) {}
