package org.chivevale.proxy.session;

/**
 * The connection to the caller of a session, implemented by protocol adapters.
 *
 * <p>Used on the event loop.
 */
public interface CallerConnection {
    /**
     * Sends the result of the statement in progress to the caller.
     *
     * @param result the result
     */
    void sendResult(SessionResult result);

    /** Closes the connection to the caller. */
    void close();
}
