package org.chivevale.database.session;

/** Where a session stands between two statements. */
public enum TransactionState {
    /** No transaction. */
    NONE,
    /** In a transaction. */
    OPEN,
    /** In a transaction that can only be ended. */
    FAILED
}
