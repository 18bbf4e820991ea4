package org.chivevale.core.config;

import java.util.Map;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;

/**
 * The current primary of a database group.
 *
 * <p>Immutable.
 *
 * @param id the group
 * @param term the primary's term; 0 before the first primary
 * @param primary the primary, or null while a failover is in progress
 * @param address the primary's address; null when the primary is
 * @param startPositions for each known term the log position at which it began
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
     * Tells whether a log position seen in an earlier term survived the failovers since.
     *
     * @param seenTerm the term in which it was seen
     * @param seenPosition the position
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
