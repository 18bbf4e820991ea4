package org.chivevale.endpoint.internal.instance;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * One record of an instance's log: a committed transaction, a base copy, or a change of role.
 *
 * <p>Immutable.
 *
 * @param kind what the record holds
 * @param position the log position after it
 * @param timeline the timeline it belongs to
 * @param origin tells apart timelines of the same number that began at different promotions
 * @param statements the statements of a transaction, or of a base copy
 * @param primary the role after a change of role
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record LogRecord(
        Kind kind,
        long position,
        long timeline,
        String origin,
        List<LoggedStatement> statements,
        Boolean primary) {

    /** What a record holds. */
    public enum Kind {
        TRANSACTION,
        BASE,
        ROLE
    }

    /**
     * Makes the record of a transaction.
     *
     * @param at the place in the log
     * @param statements its statements
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
     * Returns the place in the log after this record.
     *
     * @return the place
     */
    public LogPoint point() {
        return new LogPoint(position, timeline, origin);
    }
}
