package org.chivevale.proxy.internal.session;

import java.util.HashMap;
import java.util.Map;
import org.chivevale.core.config.Route;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Statement.Prepared;

/**
 * The state of a session that lasts between statements: settings, prepared statements, last
 * commits.
 *
 * <p>Invariant: the position of the last commit in a group never decreases; each group has a log of
 * its own. Not thread safe.
 */
public final class SessionState {
    private final Map<String, String> settings = new HashMap<>();
    private final Map<String, Prepared> prepared = new HashMap<>();
    private final Map<GroupId, TermPosition> lastCommits = new HashMap<>();
    private boolean callerHasLeft;

    /** Records that no result can be delivered to the caller any more. */
    public void markCallerLeft() {
        callerHasLeft = true;
    }

    boolean callerHasLeft() {
        return callerHasLeft;
    }

    /**
     * Sets a session setting.
     *
     * @param name the setting's name
     * @param value the setting's value
     */
    public void putSetting(String name, String value) {
        settings.put(name, value);
    }

    /**
     * Returns the session's settings.
     *
     * @return a copy, by name
     */
    public Map<String, String> settings() {
        return Map.copyOf(settings);
    }

    /**
     * Stores a prepared statement.
     *
     * @param name the name that the caller gave it
     * @param statement the prepared statement
     */
    public void addPrepared(String name, Prepared statement) {
        prepared.put(name, statement);
    }

    /**
     * Finds a prepared statement.
     *
     * @param name the name that the caller gave it
     * @return the statement, or null when there is none
     */
    public Prepared findPrepared(String name) {
        return prepared.get(name);
    }

    /**
     * Removes a prepared statement.
     *
     * @param name the name that the caller gave it
     * @return false when there was none
     */
    public boolean removePrepared(String name) {
        return prepared.remove(name) != null;
    }

    /**
     * Records a commit of the session.
     *
     * @param route the route on which it was made
     * @param position the commit's log position; null when unknown
     */
    public void recordCommit(Route route, TermPosition position) {
        if (position != null) {
            lastCommits.merge(PlacementSelector.groupOf(route), position, TermPosition::max);
        }
    }

    /**
     * Returns the position of the session's last commit in the group of a route.
     *
     * @param route the route of a read
     * @return the least position that the read must see; before every commit when there was none
     */
    public TermPosition lastCommit(Route route) {
        return lastCommits.getOrDefault(PlacementSelector.groupOf(route), TermPosition.NONE);
    }
}
