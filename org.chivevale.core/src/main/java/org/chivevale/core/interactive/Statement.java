package org.chivevale.core.interactive;

/**
 * One statement of a session, free of any protocol.
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

    /** Makes a transaction's writes permanent. */
    record Commit() implements Statement {}

    /** Ends a transaction without effect. */
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
     * Sets a value of the session.
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
     * Forgets a prepared statement.
     *
     * @param name the session's name for it
     */
    record ClosePrepared(String name) implements Statement {}

    /** Drops the values and prepared statements of a connection; only proxies send it. */
    record Discard() implements Statement {}

    /**
     * What a prepared statement does.
     *
     * @param writes true when it changes data
     * @param shape its text without arguments
     */
    record Prepared(boolean writes, String shape) {}
}
