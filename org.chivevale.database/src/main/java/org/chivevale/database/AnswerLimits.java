package org.chivevale.database;

/**
 * Limits on what one request may get back.
 *
 * <p>Immutable.
 *
 * @param maxRows rows over all statements
 * @param maxBytes bytes of the encoded rows over all statements
 */
public record AnswerLimits(int maxRows, int maxBytes) {}
