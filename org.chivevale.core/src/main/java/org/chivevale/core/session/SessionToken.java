package org.chivevale.core.session;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.core.group.GroupId;

/**
 * The log positions that a session has written and read, per database group.
 *
 * <p>Immutable; changes return a new token.
 *
 * @param marks what the session's reads must see, by group
 */
public record SessionToken(Map<String, Mark> marks) {
    public static final SessionToken EMPTY = new SessionToken(Map.of());

    public SessionToken {
        marks = Collections.unmodifiableMap(new TreeMap<>(marks));
    }

    /**
     * Returns the mark of a group.
     *
     * @param group the group
     * @return the mark, or null when the session has not used the group
     */
    public Mark mark(GroupId group) {
        return marks.get(group.toString());
    }

    /**
     * Adds what a request has written or read.
     *
     * @param group the group
     * @param mark the request's mark
     * @return a token that requires it too
     */
    public SessionToken raise(GroupId group, Mark mark) {
        Map<String, Mark> raised = new TreeMap<>(marks);
        raised.merge(group.toString(), mark, Mark::join);
        return new SessionToken(raised);
    }

    /**
     * Replaces the mark of a group, once the primary has shown the outcome of an unknown write.
     *
     * @param group the group
     * @param mark the new mark
     * @return the new token
     */
    public SessionToken replace(GroupId group, Mark mark) {
        Map<String, Mark> replaced = new TreeMap<>(marks);
        replaced.put(group.toString(), mark);
        return new SessionToken(replaced);
    }
}
