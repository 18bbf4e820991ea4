package org.chivevale.core.interactive;

/** What a statement can change where it runs; decides what its failure may be called. */
public enum Effect {
    /** A read outside a transaction. */
    SINGLE_READ,
    /** A write outside a transaction: it is kept as soon as it runs. */
    SINGLE_WRITE,
    /** The first exchange of a transaction, which changes nothing yet. */
    BEGIN,
    /** A read or write inside a transaction: kept only if the commit runs. */
    IN_TRANSACTION,
    /** The commit of a transaction that has written. */
    COMMIT,
    /** The commit of a transaction that has only read. */
    COMMIT_OF_READS
}
