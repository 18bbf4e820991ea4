package org.chivevale.core.interactive;

/** Effect that a statement can have; determines which errors may be reported for it. */
public enum Effect {
    /** A read outside a transaction. */
    SINGLE_READ,
    /** A write outside a transaction, committed as soon as it runs. */
    SINGLE_WRITE,
    /** The start of a transaction, which changes nothing yet. */
    BEGIN,
    /** A read or write inside a transaction, which takes effect only with the commit. */
    IN_TRANSACTION,
    /** The commit of a transaction that has written. */
    COMMIT,
    /** The commit of a transaction that has only read. */
    COMMIT_OF_READS
}
