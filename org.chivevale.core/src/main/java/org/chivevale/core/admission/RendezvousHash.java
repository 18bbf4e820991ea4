package org.chivevale.core.admission;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks nodes for a key so that all processes agree and a change of one node moves few keys.
 *
 * <p>Stateless and thread safe.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Ranks nodes for a key by highest random weight.
     *
     * @param key the key
     * @param nodes names of the nodes
     * @return the nodes, the preferred one first
     */
    public static List<String> rank(String key, Collection<String> nodes) {
        Map<String, Long> weights = new HashMap<>();
        nodes.forEach(node -> weights.put(node, weight(key, node)));
        List<String> ranked = new ArrayList<>(weights.keySet());
        ranked.sort(
                (one, other) -> {
                    int byWeight = Long.compareUnsigned(weights.get(other), weights.get(one));
                    return byWeight != 0 ? byWeight : one.compareTo(other);
                });
        return ranked;
    }

    private static long weight(String key, String node) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(key.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            return ByteBuffer.wrap(digest.digest(node.getBytes(StandardCharsets.UTF_8))).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
