package org.chivevale.proxy.session;

import java.util.List;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.SessionError;
import org.chivevale.database.session.TransactionState;

/**
 * The result of one statement of a session, as sent to the caller.
 *
 * <p>Immutable.
 *
 * @param rows the rows, in their order
 * @param signature the endpoint's signature; empty when no endpoint was involved
 * @param error null for success
 * @param detail the text of the error
 * @param transaction the session's transaction state after the statement
 * @param position the endpoint's log position; null when no endpoint was involved
 */
public record SessionResult(
        List<String> rows,
        String signature,
        SessionError error,
        String detail,
        TransactionState transaction,
        TermPosition position) {
    public SessionResult {
        rows = List.copyOf(rows);
    }

    static SessionResult done(TransactionState transaction) {
        return new SessionResult(List.of(), "", null, "", transaction, null);
    }

    static SessionResult failed(SessionError error, String detail, TransactionState transaction) {
        return new SessionResult(List.of(), "", error, detail, transaction, null);
    }
}
