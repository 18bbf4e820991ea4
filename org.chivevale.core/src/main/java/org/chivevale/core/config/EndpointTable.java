package org.chivevale.core.config;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.core.group.GroupId;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.EndpointRemoved;

/**
 * The registered endpoints, and the last incarnation of those that have left, so that a delayed
 * announcement of an endpoint that has left is known as such.
 *
 * <p>Invariants: an endpoint is registered or listed as having left, never both; the latest {@value
 * #MAX_REMOVED} that left are kept, which bounds the snapshot. Not thread safe.
 */
final class EndpointTable {
    private static final int MAX_REMOVED = 1000;

    /** Ends a group in a key; no name contains whitespace. */
    private static final char SEPARATOR = ' ';

    private static final char AFTER_SEPARATOR = SEPARATOR + 1;

    private final TreeMap<String, EndpointPut> registered = new TreeMap<>();
    private final Map<String, EndpointRemoved> removed = new LinkedHashMap<>();

    void clear() {
        registered.clear();
        removed.clear();
    }

    void put(EndpointPut put) {
        String key = key(put.getGroupId(), put.getEndpointId());
        registered.put(key, put);
        removed.remove(key);
    }

    /** Ends a registration; a removal that an earlier build wrote does not name the incarnation. */
    void remove(EndpointRemoved change) {
        String key = key(change.getGroupId(), change.getEndpointId());
        EndpointPut last = registered.remove(key);
        long incarnation = change.getIncarnation();
        if (incarnation == 0 && last != null) {
            incarnation = last.getIncarnation();
        }
        if (incarnation == 0) {
            return;
        }
        removed.remove(key);
        removed.put(key, change.toBuilder().setIncarnation(incarnation).build());
        if (removed.size() > MAX_REMOVED) {
            removed.remove(removed.keySet().iterator().next());
        }
    }

    /** Drops the registrations of a database; its endpoints may register again as they are. */
    void removeDatabase(String name) {
        registered
                .values()
                .removeIf(put -> GroupId.parse(put.getGroupId()).database().equals(name));
    }

    EndpointPut find(String group, String endpoint) {
        return registered.get(key(group, endpoint));
    }

    boolean hasLeft(String group, String endpoint, long incarnation) {
        EndpointRemoved left = removed.get(key(group, endpoint));
        return left != null && left.getIncarnation() >= incarnation;
    }

    /** Lists the registered endpoints of a group. */
    Collection<EndpointPut> ofGroup(String group) {
        return Collections.unmodifiableCollection(
                registered.subMap(group + SEPARATOR, group + AFTER_SEPARATOR).values());
    }

    Collection<EndpointPut> all() {
        return Collections.unmodifiableCollection(registered.values());
    }

    /** Lists the endpoints that have left, oldest first. */
    Collection<EndpointRemoved> removed() {
        return Collections.unmodifiableCollection(removed.values());
    }

    private static String key(String group, String endpoint) {
        return group + SEPARATOR + endpoint;
    }
}
