package org.chivevale.proxy.internal.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.admission.HostsDigest;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.MemberTarget;
import org.chivevale.wire.proto.ConnectionHost;
import org.chivevale.wire.proto.EndpointHosts;
import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;

/**
 * The connection hosts of all endpoints, as control has told them.
 *
 * <p>Invariant: hosts stay until a leader replaces them, or has told all hosts without them. Used
 * on the event loop.
 */
public final class KnownHosts {
    private final Map<String, EndpointHosts> messages = new HashMap<>();
    private final Map<String, List<RelayHostAddress>> hosts = new HashMap<>();

    /** Endpoints whose hosts were told since all demands were listed last. */
    private final Set<String> told = new HashSet<>();

    /**
     * Adds what control needs to tell the hosts that this proxy does not know.
     *
     * @param request the renewal
     */
    public void addTo(RenewRequest.Builder request) {
        request.setRelays(true);
        if (request.getSharesEpoch() == 0) {
            told.clear();
            request.setHostsDigest(HostsDigest.of(messages.values()));
        }
    }

    /**
     * Applies the hosts that a renewal brings.
     *
     * @param answer the answer to the renewal
     * @return false when it brings none
     */
    public boolean apply(RenewAnswer answer) {
        if (!answer.getHostsComplete() && answer.getEndpointHostsCount() == 0) {
            return false;
        }
        for (EndpointHosts message : answer.getEndpointHostsList()) {
            String key = message.getGroupId() + "/" + message.getEndpointId();
            messages.put(key, message);
            told.add(key);
        }
        if (answer.getHostsComplete()) {
            messages.keySet().retainAll(told);
        }
        messages.values().removeIf(message -> message.getHostsCount() == 0);
        hosts.clear();
        messages.forEach(
                (key, message) ->
                        hosts.put(
                                key,
                                message.getHostsList().stream().map(KnownHosts::decode).toList()));
        return true;
    }

    private static RelayHostAddress decode(ConnectionHost host) {
        return new RelayHostAddress(
                host.getProxyId(),
                host.getIncarnation(),
                host.getRegion(),
                new HostPort(host.getHost(), host.getPort()));
    }

    /**
     * Returns the hosts of an endpoint.
     *
     * @param target the endpoint
     * @return the hosts; empty when each proxy opens its own connections
     */
    public List<RelayHostAddress> of(MemberTarget target) {
        return hosts.getOrDefault(target.group() + "/" + target.endpoint(), List.of());
    }

    /**
     * Returns where hosts accept statements.
     *
     * @return the addresses of all hosts
     */
    public Set<HostPort> addresses() {
        Set<HostPort> addresses = new HashSet<>();
        hosts.values().forEach(each -> each.forEach(host -> addresses.add(host.address())));
        return addresses;
    }
}
