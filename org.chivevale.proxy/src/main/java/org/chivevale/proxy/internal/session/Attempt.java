package org.chivevale.proxy.internal.session;

import java.util.Map;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.interactive.Statement.Prepared;

/**
 * One attempt to run a statement at an endpoint.
 *
 * <p>Immutable.
 *
 * @param id the request id that the caller gave
 * @param statement the statement, as the caller's session named it
 * @param prepared the prepared statement that it executes; null for others
 * @param preparedName this proxy's name for the prepared statement; null for others
 * @param settings the session's settings by name
 * @param requiredPosition the position that the endpoint must have reached; null for none
 * @param effect what the statement can change
 * @param primaryTerm the term in which the endpoint is the primary; 0 for a replica
 * @param priority the urgency of the route; 0 is the highest
 * @param remainingMillis time until the statement's timeout
 */
record Attempt(
        String id,
        Statement statement,
        Prepared prepared,
        String preparedName,
        Map<String, String> settings,
        TermPosition requiredPosition,
        Effect effect,
        long primaryTerm,
        int priority,
        int remainingMillis) {
    /** Creates an attempt at a placement; one of an open transaction needs no position. */
    static Attempt of(
            SessionEngine engine,
            Operation operation,
            SessionContext context,
            Placement placement,
            boolean isPinned,
            int remainingMillis) {
        return new Attempt(
                operation.id(),
                operation.statement(),
                operation.prepared(),
                operation.prepared() == null ? null : engine.nameFor(operation.prepared()),
                context.settings(),
                isPinned ? null : placement.requiredPosition(),
                operation.effect(),
                placement.isPrimary() ? placement.group().term() : 0,
                context.route().priority(),
                remainingMillis);
    }
}
