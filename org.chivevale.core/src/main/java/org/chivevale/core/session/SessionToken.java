package org.chivevale.core.session;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.core.group.GroupId;

/**
 * What a session has written and read, per database group.
 *
 * <p>Immutable; raising makes a new token.
 *
 * @param marks what must be seen of each group
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
     * @return the mark, or null when the session has not met the group
     */
    public Mark mark(GroupId group) {
        return marks.get(group.toString());
    }

    /**
     * Adds what a request has seen.
     *
     * @param group the group
     * @param mark what was seen
     * @return a token that demands it too
     */
    public SessionToken raise(GroupId group, Mark mark) {
        Map<String, Mark> raised = new TreeMap<>(marks);
        raised.merge(group.toString(), mark, Mark::join);
        return new SessionToken(raised);
    }

    /**
     * Replaces the mark of a group, once the primary has shown what became of an unknown write.
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
