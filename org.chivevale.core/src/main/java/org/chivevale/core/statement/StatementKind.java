package org.chivevale.core.statement;

/**
 * What a caller's statement may do.
 *
 * <p>Immutable.
 */
public enum StatementKind {
    /** Reads only. */
    READ,
    /** Changes rows. */
    WRITE,
    /** Changes the tables, indexes or sequences in the account's own schema. */
    SCHEMA
}
