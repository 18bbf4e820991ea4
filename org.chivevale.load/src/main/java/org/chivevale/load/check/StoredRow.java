package org.chivevale.load.check;

/**
 * How often a write is in the database at the end.
 *
 * <p>Immutable.
 *
 * @param session who wrote it
 * @param sequence which of the session's writes
 * @param copies how many rows there are
 */
public record StoredRow(String session, long sequence, long copies) {}
