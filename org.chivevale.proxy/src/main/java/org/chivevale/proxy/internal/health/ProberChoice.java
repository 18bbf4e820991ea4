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
 * <p>Every proxy computes the same choice from the same members, and the removal of a proxy moves
 * only the groups that it probed. Stateless and thread safe.
 */
final class ProberChoice {
    static final int PROBERS_PER_GROUP = 3;

    /** 2^64 divided by the golden ratio; the multiplication spreads the checksum over 64 bits. */
    private static final long MIX_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final int MIX_SHIFT = 32;

    private ProberChoice() {}

    /**
     * Returns the ids of the chosen proxies: first the best of each data centre, then the next
     * best.
     */
    static Set<String> choose(GroupId group, Collection<ProxyMember> proxies) {
        List<ProxyMember> ranked = new ArrayList<>(proxies);
        ranked.sort(
                Comparator.comparingLong((ProxyMember proxy) -> score(group, proxy.getProxyId()))
                        .reversed());
        Set<String> chosen = new HashSet<>();
        Set<String> dataCenters = new HashSet<>();
        for (ProxyMember proxy : ranked) {
            if (chosen.size() < PROBERS_PER_GROUP && dataCenters.add(proxy.getDataCenter())) {
                chosen.add(proxy.getProxyId());
            }
        }
        for (ProxyMember proxy : ranked) {
            if (chosen.size() < PROBERS_PER_GROUP) {
                chosen.add(proxy.getProxyId());
            }
        }
        return chosen;
    }

    private static long score(GroupId group, String proxyId) {
        CRC32C hash = new CRC32C();
        hash.update((group + "/" + proxyId).getBytes(StandardCharsets.UTF_8));
        long mixed = hash.getValue() * MIX_MULTIPLIER;
        return mixed ^ mixed >>> MIX_SHIFT;
    }
}
