package org.chivevale.load.check;

/**
 * The number of rows that a write left in the database at the end.
 *
 * <p>Immutable.
 *
 * @param session name of the session that wrote
 * @param sequence number of the write in the session, from 1
 * @param copies number of rows; more than 1 when the write was applied repeatedly
 */
public record StoredRow(String session, long sequence, long copies) {}
