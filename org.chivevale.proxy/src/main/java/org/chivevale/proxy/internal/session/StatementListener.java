package org.chivevale.proxy.internal.session;

/**
 * Receives the outcome of a statement.
 *
 * <p>Called on the event loop.
 */
interface StatementListener {
    /**
     * Handles the outcome; a connection in it stays in use and must be released.
     *
     * @param outcome how the statement ended
     */
    void onComplete(StatementOutcome outcome);
}
