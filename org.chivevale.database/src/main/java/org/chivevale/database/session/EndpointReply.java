package org.chivevale.database.session;

import java.util.List;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Reply;

/**
 * What an endpoint answered to one statement.
 *
 * <p>Immutable.
 *
 * @param reply how it ended
 * @param rows the rows, in their order
 * @param signature the endpoint's proof that it ran the statement; empty without success
 * @param detail the text of an error
 * @param transaction the state of the transaction afterwards
 * @param position the endpoint's position afterwards; null when it named none
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
     * Makes the reply of a statement that got no answer.
     *
     * @param reply what is known of its run
     * @param detail why there is no answer
     * @return the reply
     */
    public static EndpointReply without(Reply reply, String detail) {
        return new EndpointReply(reply, List.of(), "", detail, TransactionState.NONE, null);
    }
}
