package org.chivevale.database.session;

import java.util.function.Consumer;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Statement;

/**
 * One connection to an endpoint, opened for one client account.
 *
 * <p>Contract: statements run in the order in which they are given; each gets one reply, also when
 * the connection ends first. Statements may be given before the connection stands. Used on one
 * event loop.
 */
public interface SessionConnection {
    /**
     * Sends a statement.
     *
     * @param id the caller's id, or {@link #OWN_ID}
     * @param statement what to run
     * @param since the position that the endpoint's log must hold, or null
     * @param done learns the reply
     */
    void execute(String id, Statement statement, TermPosition since, Consumer<EndpointReply> done);

    /** Id of statements that the proxy issues itself. */
    String OWN_ID = "-";

    /**
     * Tells whether statements can still be sent.
     *
     * @return false once the connection has ended
     */
    boolean usable();

    /** Ends the connection; open statements get their reply, and an open transaction rolls back. */
    void close();
}
