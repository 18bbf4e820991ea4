package org.chivevale.proxy.internal.session;

import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.interactive.Statement.Prepared;

/**
 * A statement to execute.
 *
 * <p>Immutable.
 *
 * @param id the request id that the caller gave
 * @param statement the statement
 * @param prepared the prepared statement that it executes; null for others
 * @param effect what it can change
 * @param primaryOnly true when it may run at the primary only
 */
record Operation(
        String id, Statement statement, Prepared prepared, Effect effect, boolean primaryOnly) {
    /** Returns true when its success means that writes are committed. */
    boolean commitsWrites() {
        return effect == Effect.SINGLE_WRITE || effect == Effect.COMMIT;
    }
}
