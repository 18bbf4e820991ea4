package org.chivevale.proxy.internal.session;

import java.util.HashMap;
import java.util.Map;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Statement.Prepared;

/**
 * What lasts from one statement of a session to the next.
 *
 * <p>Invariant: the floor only rises. Not thread safe.
 */
public final class SessionState {
    private final Map<String, String> values = new HashMap<>();
    private final Map<String, Prepared> prepared = new HashMap<>();
    private TermPosition floor = TermPosition.NONE;

    /**
     * Sets a value.
     *
     * @param name its name
     * @param value its value
     */
    public void set(String name, String value) {
        values.put(name, value);
    }

    /**
     * Returns the values.
     *
     * @return a copy
     */
    public Map<String, String> values() {
        return Map.copyOf(values);
    }

    /**
     * Keeps a prepared statement.
     *
     * @param name the session's name
     * @param statement what it does
     */
    public void prepare(String name, Prepared statement) {
        prepared.put(name, statement);
    }

    /**
     * Finds a prepared statement.
     *
     * @param name the session's name
     * @return the statement, or null
     */
    public Prepared prepared(String name) {
        return prepared.get(name);
    }

    /**
     * Forgets a prepared statement.
     *
     * @param name the session's name
     * @return false when there was none
     */
    public boolean close(String name) {
        return prepared.remove(name) != null;
    }

    /**
     * Notes a commit of the session.
     *
     * @param position where it stands
     */
    public void committed(TermPosition position) {
        if (position != null) {
            floor = floor.max(position);
        }
    }

    /**
     * Returns the last commit of the session.
     *
     * @return its position
     */
    public TermPosition floor() {
        return floor;
    }
}
