package org.chivevale.database.session;

/** Transaction state of a session between two statements. */
public enum TransactionState {
    /** No transaction. */
    NONE,
    /** In a transaction. */
    OPEN,
    /** In a failed transaction, which accepts nothing but its end. */
    FAILED
}
