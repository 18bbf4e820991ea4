package org.chivevale.proxy.session;

import java.util.List;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.SessionError;
import org.chivevale.database.session.TransactionState;

/**
 * What a caller's session is told about one statement.
 *
 * <p>Immutable.
 *
 * @param rows the rows, in their order
 * @param signature the endpoint's proof; empty when the proxy answered itself
 * @param error null for success
 * @param detail the text of the error
 * @param transaction where the session stands afterwards
 * @param position the endpoint's position; null when the proxy answered itself
 */
public record SessionAnswer(
        List<String> rows,
        String signature,
        SessionError error,
        String detail,
        TransactionState transaction,
        TermPosition position) {
    public SessionAnswer {
        rows = List.copyOf(rows);
    }

    static SessionAnswer done(TransactionState transaction) {
        return new SessionAnswer(List.of(), "", null, "", transaction, null);
    }

    static SessionAnswer failed(SessionError error, String detail, TransactionState transaction) {
        return new SessionAnswer(List.of(), "", error, detail, transaction, null);
    }
}
