package org.chivevale.core.config;

import java.util.Map;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;

/**
 * Who is the primary of a database group.
 *
 * <p>Immutable.
 *
 * @param id the group
 * @param term the primary's term; 0 before the first primary
 * @param primary the primary, or null while a replacement is under way
 * @param address where the primary is reached, or null with it
 * @param startPositions for each earlier term the log position at which the next one began
 */
public record Group(
        GroupId id,
        long term,
        EndpointId primary,
        HostPort address,
        Map<Long, Long> startPositions) {
    public Group {
        startPositions = Map.copyOf(startPositions);
    }

    /**
     * Tells whether a state that was seen under an earlier term still exists.
     *
     * @param seenTerm the term under which it was seen
     * @param seenPosition the position that was seen
     * @return true when the position was carried over into each later term
     */
    public boolean carriesOver(long seenTerm, long seenPosition) {
        if (seenTerm > term) {
            return false;
        }
        for (Map.Entry<Long, Long> start : startPositions.entrySet()) {
            if (start.getKey() > seenTerm && start.getValue() < seenPosition) {
                return false;
            }
        }
        return seenTerm == term || startPositions.containsKey(term);
    }
}
