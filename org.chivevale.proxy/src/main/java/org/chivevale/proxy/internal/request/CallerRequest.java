package org.chivevale.proxy.internal.request;

import java.util.List;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.session.SessionToken;
import org.chivevale.core.statement.StatementKind;
import org.chivevale.database.RequestRecord;
import org.chivevale.database.Statement;

/**
 * A caller's request, read and checked.
 *
 * <p>Immutable.
 *
 * @param account the client account whose key came with it
 * @param group the database group it is for
 * @param kind what its statements may do
 * @param statements the statements
 * @param session what the session must see, or null when no token came
 * @param acceptedAgeMillis how old read data may be; -1 when not said
 * @param record identifies it when it must run at most once, or null
 * @param repeatable true when it may run more than once
 * @param deadlineNanos the monotonic time by which the caller wants the answer
 */
public record CallerRequest(
        ClientAccountId account,
        GroupId group,
        StatementKind kind,
        List<Statement> statements,
        SessionToken session,
        long acceptedAgeMillis,
        RequestRecord record,
        boolean repeatable,
        long deadlineNanos) {
    /** Stands for an age that was not said. */
    public static final long NO_AGE = -1;

    public CallerRequest {
        statements = List.copyOf(statements);
    }

    /**
     * Returns the session, empty when no token came.
     *
     * @return never null
     */
    public SessionToken sessionOrEmpty() {
        return session == null ? SessionToken.EMPTY : session;
    }
}
