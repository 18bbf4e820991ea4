package org.chivevale.proxy.session;

/**
 * The caller's side of a session.
 *
 * <p>Used on the event loop.
 */
public interface CallerPort {
    /**
     * Tells the outcome of the statement that is open.
     *
     * @param answer the outcome
     */
    void answer(SessionAnswer answer);

    /** Ends the connection to the caller. */
    void close();
}
