package org.chivevale.proxy.internal.health;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32C;
import org.chivevale.core.group.GroupId;
import org.chivevale.wire.proto.ProxyMember;

/**
 * Chooses the few proxies that probe a group, by rendezvous hashing over data centres.
 *
 * <p>Every proxy comes to the same choice from the same members, and a proxy that leaves only moves
 * the groups that it probed. Stateless and thread safe.
 */
final class ProberChoice {
    static final int PROBERS = 3;

    private static final long MIX = 0x9E3779B97F4A7C15L;
    private static final int SHIFT = 32;

    private ProberChoice() {}

    /** Returns the ids of the chosen proxies: one a data centre first, then the next best. */
    static Set<String> choose(GroupId group, Collection<ProxyMember> proxies) {
        List<ProxyMember> ranked = new ArrayList<>(proxies);
        ranked.sort(
                Comparator.comparingLong((ProxyMember proxy) -> score(group, proxy.getProxyId()))
                        .reversed());
        Set<String> chosen = new HashSet<>();
        Set<String> dataCenters = new HashSet<>();
        for (ProxyMember proxy : ranked) {
            if (chosen.size() < PROBERS && dataCenters.add(proxy.getDataCenter())) {
                chosen.add(proxy.getProxyId());
            }
        }
        for (ProxyMember proxy : ranked) {
            if (chosen.size() < PROBERS) {
                chosen.add(proxy.getProxyId());
            }
        }
        return chosen;
    }

    private static long score(GroupId group, String proxyId) {
        CRC32C hash = new CRC32C();
        hash.update((group + "/" + proxyId).getBytes(StandardCharsets.UTF_8));
        long mixed = hash.getValue() * MIX;
        return mixed ^ mixed >>> SHIFT;
    }
}
