package org.chivevale.endpoint.internal.instance;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * One record of an instance's log: a committed transaction, a base backup or a change of role.
 *
 * <p>Immutable.
 *
 * @param kind the kind of record
 * @param position the log position after it
 * @param timeline the timeline it belongs to
 * @param origin distinguishes timelines of the same number that began at different promotions
 * @param statements the statements of a transaction or a base backup; null for a change of role
 * @param primary true when the change of role is a promotion; null for other records
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record LogRecord(
        Kind kind,
        long position,
        long timeline,
        String origin,
        List<LoggedStatement> statements,
        Boolean primary) {

    /** Kinds of records. */
    public enum Kind {
        TRANSACTION,
        BASE,
        ROLE
    }

    /**
     * Creates the record of a transaction.
     *
     * @param at the log point after the record
     * @param statements the transaction's statements
     * @return the record
     */
    static LogRecord transaction(LogPoint at, List<LoggedStatement> statements) {
        return new LogRecord(
                Kind.TRANSACTION, at.position(), at.timeline(), at.origin(), statements, null);
    }

    static LogRecord base(LogPoint at, List<LoggedStatement> statements) {
        return new LogRecord(
                Kind.BASE, at.position(), at.timeline(), at.origin(), statements, null);
    }

    static LogRecord role(LogPoint at, boolean primary) {
        return new LogRecord(Kind.ROLE, at.position(), at.timeline(), at.origin(), null, primary);
    }

    /**
     * Returns the log point after this record.
     *
     * @return the log point
     */
    public LogPoint point() {
        return new LogPoint(position, timeline, origin);
    }
}
