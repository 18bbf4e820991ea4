package org.chivevale.core.interactive;

/**
 * One statement of a session, independent of the wire protocol.
 *
 * <p>All implementations are immutable.
 */
public sealed interface Statement {
    /**
     * Begins a transaction.
     *
     * @param readOnly true when it will not write
     */
    record Begin(boolean readOnly) implements Statement {}

    /** Commits a transaction. */
    record Commit() implements Statement {}

    /** Rolls a transaction back. */
    record Rollback() implements Statement {}

    /**
     * Reads.
     *
     * @param arguments what is read, as the caller wrote it
     */
    record Read(String arguments) implements Statement {}

    /**
     * Writes.
     *
     * @param arguments what is written, as the caller wrote it
     */
    record Write(String arguments) implements Statement {}

    /**
     * Sets a session variable.
     *
     * @param name its name
     * @param value its value
     */
    record SetValue(String name, String value) implements Statement {}

    /**
     * Prepares a statement.
     *
     * @param name the session's name for it
     * @param prepared what it does
     */
    record Prepare(String name, Prepared prepared) implements Statement {}

    /**
     * Runs a prepared statement.
     *
     * @param name the session's name for it
     * @param arguments its arguments, as the caller wrote them
     */
    record Execute(String name, String arguments) implements Statement {}

    /**
     * Deallocates a prepared statement.
     *
     * @param name the session's name for it
     */
    record ClosePrepared(String name) implements Statement {}

    /** Resets a connection's session variables and prepared statements; only sent by proxies. */
    record Discard() implements Statement {}

    /**
     * What a prepared statement does.
     *
     * @param writes true when it changes data
     * @param shape its text without arguments
     */
    record Prepared(boolean writes, String shape) {}
}
