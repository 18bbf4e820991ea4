package org.chivevale.database.session;

import java.util.List;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Reply;

/**
 * Reply of an endpoint to one statement.
 *
 * <p>Immutable.
 *
 * @param reply the outcome of the statement
 * @param rows the rows in the order in which the endpoint sent them
 * @param signature the endpoint's proof that it ran the statement; empty on failure
 * @param detail the text of an error
 * @param transaction the state of the transaction afterwards
 * @param position the endpoint's position afterwards; null when it reported none
 */
public record EndpointReply(
        Reply reply,
        List<String> rows,
        String signature,
        String detail,
        TransactionState transaction,
        TermPosition position) {
    public EndpointReply {
        rows = List.copyOf(rows);
    }

    /**
     * Creates the reply for a statement that received no response.
     *
     * @param reply what is known about the statement's outcome
     * @param detail the reason why there is no response
     * @return the reply
     */
    public static EndpointReply withoutResponse(Reply reply, String detail) {
        return new EndpointReply(reply, List.of(), "", detail, TransactionState.NONE, null);
    }
}
