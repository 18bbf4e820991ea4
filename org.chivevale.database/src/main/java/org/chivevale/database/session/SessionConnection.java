package org.chivevale.database.session;

import java.util.function.Consumer;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Statement;

/**
 * One connection to an endpoint, opened for one client account.
 *
 * <p>Contract: statements run in the order of the calls; each gets exactly one reply, also when the
 * connection is closed first. Statements may be sent before the connection is established. Used on
 * one event loop.
 */
public interface SessionConnection {
    /**
     * Sends a statement.
     *
     * @param id the caller's id of the request, or {@link #OWN_ID}
     * @param statement the statement
     * @param since the position up to which the endpoint must hold the log, or null
     * @param done receives the reply
     */
    void execute(String id, Statement statement, TermPosition since, Consumer<EndpointReply> done);

    /** Id of statements that the proxy issues on its own. */
    String OWN_ID = "-";

    /**
     * Tells whether statements can still be sent.
     *
     * @return false once the connection is closed
     */
    boolean usable();

    /**
     * Closes the connection; pending statements get a reply, and an open transaction rolls back.
     */
    void close();

    /**
     * Runs an action once a statement would be sent at once, or the connection has failed.
     *
     * <p>Statements that are executed before that are sent when the connection opens.
     *
     * @param action runs now if the connection is open
     */
    default void whenOpen(Runnable action) {
        action.run();
    }

    /**
     * Tells whether the connection is open, so that statements are sent at once.
     *
     * @return false while it is being opened
     */
    default boolean isOpen() {
        return true;
    }

    /**
     * Tells whether the connection failed because nothing listens at the endpoint's address.
     *
     * @return true after such a failure
     */
    default boolean wasRefused() {
        return false;
    }
}
