package org.chivevale.proxy.internal.request;

import java.util.List;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.session.SessionToken;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.database.RequestRecord;
import org.chivevale.database.Statement;

/**
 * A parsed and validated request of a caller.
 *
 * <p>Immutable.
 *
 * @param account the client account that the request's key belongs to
 * @param group the database group that the request addresses
 * @param kind the strongest effect that its statements may have
 * @param statements the statements
 * @param session the state that the request must see; null when it carries no session token
 * @param acceptedAgeMillis the maximum age of read data; -1 when not specified
 * @param requestRecord identifies a write that must run at most once; null otherwise
 * @param repeatable true when the request may run more than once
 * @param deadlineNanos the monotonic time by which the caller expects a response
 */
public record CallerRequest(
        ClientAccountId account,
        GroupId group,
        StatementKind kind,
        List<Statement> statements,
        SessionToken session,
        long acceptedAgeMillis,
        RequestRecord requestRecord,
        boolean repeatable,
        long deadlineNanos) {
    /** Marks a request that specifies no accepted age. */
    public static final long NO_ACCEPTED_AGE = -1;

    public CallerRequest {
        statements = List.copyOf(statements);
    }

    /**
     * Returns the session.
     *
     * @return the session, or an empty one when the request carries no token; never null
     */
    public SessionToken sessionOrEmpty() {
        return session == null ? SessionToken.EMPTY : session;
    }
}
