package org.chivevale.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the connection hosts of an endpoint: the proxies that hold all of its connections.
 *
 * <p>Answers a fleet in which an endpoint accepts fewer connections than there are proxies, so that
 * each proxy would open and close connections all the time. Invariants: a host stays while it is
 * alive and none is nearer to the endpoint; each call replaces at most one host by a nearer one,
 * since each move closes connections. Stateless and thread safe.
 */
public final class ConnectionHosts {
    private static final int CONNECTIONS_PER_HOST = 30;
    private static final int MAX_HOSTS = 4;
    private static final int MIN_HOSTS_OF_REGION = 2;

    /** Share by which the limit must exceed the bound before an endpoint loses its hosts. */
    private static final double HYSTERESIS = 1.1;

    private ConnectionHosts() {}

    /**
     * A proxy that can be a host.
     *
     * @param id the proxy's id
     * @param dataCenter its data centre
     * @param region its region
     */
    public record Candidate(String id, String dataCenter, String region) {}

    /**
     * An endpoint whose connections are shared.
     *
     * @param key identifies it
     * @param dataCenter its data centre
     * @param region its region
     * @param connectionLimit connections that it accepts
     */
    public record Endpoint(String key, String dataCenter, String region, int connectionLimit) {}

    /**
     * Decides whether an endpoint has hosts.
     *
     * @param connectionLimit connections that it accepts
     * @param sharedBelow the bound for each proxy; 0 for never
     * @param proxies number of proxies with a lease
     * @param hasHosts true when it has hosts now; they stay until the limit is clearly above the
     *     bound, so that a proxy that restarts does not move all connections
     * @return true when few proxies should hold its connections
     */
    public static boolean isShared(
            int connectionLimit, double sharedBelow, int proxies, boolean hasHosts) {
        double bound = sharedBelow * proxies * (hasHosts ? HYSTERESIS : 1);
        return sharedBelow > 0 && connectionLimit < bound;
    }

    /**
     * Chooses the hosts.
     *
     * @param endpoint the endpoint
     * @param candidates all proxies that can be hosts
     * @param current the present hosts, which may have left
     * @param mayMove true when a host may be replaced by one that is nearer to the endpoint
     * @return the hosts' ids; empty only without candidates
     */
    public static List<String> choose(
            Endpoint endpoint,
            Collection<Candidate> candidates,
            Collection<String> current,
            boolean mayMove) {
        Map<String, Integer> distances = new HashMap<>();
        candidates.forEach(each -> distances.put(each.id(), distance(endpoint, each)));
        int wanted = Math.min(count(endpoint, candidates), distances.size());
        List<String> kept = new ArrayList<>(current);
        kept.retainAll(distances.keySet());
        if (kept.size() == wanted && (!mayMove || !canMoveNearer(kept, distances))) {
            return kept;
        }
        List<String> ranked = RendezvousHash.rank(endpoint.key(), distances.keySet());
        ranked.sort((one, other) -> Integer.compare(distances.get(one), distances.get(other)));
        List<String> chosen = new ArrayList<>(ranked);
        chosen.retainAll(current);
        while (chosen.size() > wanted) {
            chosen.remove(chosen.size() - 1);
        }
        List<String> others = new ArrayList<>(ranked);
        others.removeAll(chosen);
        while (chosen.size() < wanted) {
            chosen.add(others.remove(0));
        }
        if (mayMove && !others.isEmpty() && !chosen.isEmpty()) {
            String farthest = farthest(chosen, distances);
            if (distances.get(others.get(0)) < distances.get(farthest)) {
                chosen.set(chosen.indexOf(farthest), others.get(0));
            }
        }
        return chosen;
    }

    private static boolean canMoveNearer(List<String> kept, Map<String, Integer> distances) {
        if (kept.isEmpty()) {
            return false;
        }
        int farthest = distances.get(farthest(kept, distances));
        return distances.entrySet().stream()
                .anyMatch(entry -> entry.getValue() < farthest && !kept.contains(entry.getKey()));
    }

    private static String farthest(List<String> ids, Map<String, Integer> distances) {
        String farthest = ids.get(0);
        for (String id : ids) {
            if (distances.get(id) >= distances.get(farthest)) {
                farthest = id;
            }
        }
        return farthest;
    }

    private static int count(Endpoint endpoint, Collection<Candidate> candidates) {
        long inRegion =
                candidates.stream().filter(each -> each.region().equals(endpoint.region())).count();
        int byLimit =
                (endpoint.connectionLimit() + CONNECTIONS_PER_HOST - 1) / CONNECTIONS_PER_HOST;
        int least = inRegion >= MIN_HOSTS_OF_REGION ? MIN_HOSTS_OF_REGION : 1;
        return Math.min(MAX_HOSTS, Math.max(least, byLimit));
    }

    private static int distance(Endpoint endpoint, Candidate candidate) {
        if (candidate.dataCenter().equals(endpoint.dataCenter())) {
            return 0;
        }
        return candidate.region().equals(endpoint.region()) ? 1 : 2;
    }
}
