package org.chivevale.core.admission;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Comparator;
import org.chivevale.wire.proto.EndpointHosts;

/**
 * Digest of the connection hosts of all endpoints.
 *
 * <p>Lets a new leader see that a proxy knows the hosts already, since sending all hosts to all
 * proxies would fill the leader's link. Stateless and thread safe.
 */
public final class HostsDigest {
    private HostsDigest() {}

    /**
     * Computes the digest.
     *
     * @param hosts the hosts of each endpoint, in any order
     * @return the digest; 0 when no endpoint has hosts
     */
    public static long of(Collection<EndpointHosts> hosts) {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
        hosts.stream()
                .filter(each -> each.getHostsCount() > 0)
                .sorted(
                        Comparator.comparing(EndpointHosts::getGroupId)
                                .thenComparing(EndpointHosts::getEndpointId))
                .forEach(each -> digest.update(each.toByteArray()));
        boolean isEmpty = hosts.stream().allMatch(each -> each.getHostsCount() == 0);
        return isEmpty ? 0 : ByteBuffer.wrap(digest.digest()).getLong();
    }
}
