package org.chivevale.proxy.session;

/**
 * The connection to the caller of a session, implemented by protocol adapters.
 *
 * <p>Used on the event loop.
 */
public interface CallerPort {
    /**
     * Sends the result of the statement in progress to the caller.
     *
     * @param result the result
     */
    void answer(SessionAnswer result);

    /** Closes the connection to the caller. */
    void close();
}
