package org.chivevale.core.config;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.chivevale.wire.proto.RoutePut;

/**
 * The routes of sessions, by name and by host.
 *
 * <p>Invariant: of several routes of one host, the one with the shortest prefix serves its
 * sessions. Not thread safe.
 */
final class RouteTable {
    private final Map<String, Route> byName = new TreeMap<>();
    private final Map<String, Route> byHost = new HashMap<>();

    void clear() {
        byName.clear();
        byHost.clear();
    }

    void put(RoutePut put) {
        Route before =
                byName.put(
                        put.getName(),
                        new Route(
                                put.getName(),
                                put.getHost(),
                                put.getPrefix(),
                                put.getDatabase(),
                                ReadPolicy.valueOf(put.getReadPolicy()),
                                put.getStatementTimeoutMillis(),
                                put.getLatencyObjectiveMillis(),
                                put.getPriority(),
                                put.getMaxStalenessMillis(),
                                put.getAnonymous(),
                                AllowedRegions.of(put.getAllowedRegionsList())));
        if (before != null && !before.host().equals(put.getHost())) {
            reindexHost(before.host());
        }
        reindexHost(put.getHost());
    }

    void remove(String name) {
        Route removed = byName.remove(name);
        if (removed != null) {
            reindexHost(removed.host());
        }
    }

    private void reindexHost(String host) {
        byHost.remove(host);
        for (Route route : byName.values()) {
            if (route.host().equals(host)) {
                byHost.merge(host, route, RouteTable::withShorterPrefix);
            }
        }
    }

    private static Route withShorterPrefix(Route one, Route other) {
        return one.prefix().length() <= other.prefix().length() ? one : other;
    }

    Route findByName(String name) {
        return byName.get(name);
    }

    Route findByHost(String host) {
        return byHost.get(host);
    }

    Collection<Route> all() {
        return Collections.unmodifiableCollection(byName.values());
    }
}
