package org.chivevale.proxy.internal.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.admission.RendezvousHash;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.RelayRequest;

/**
 * The links of this proxy to connection hosts.
 *
 * <p>Invariant: a client account goes to the same host as long as that one is usable, so that its
 * connections stay open there. Used on the event loop.
 */
public final class RelayLinks {
    private final RelayTransport transport;
    private final LongSupplier clock;
    private final Map<HostPort, RelayLink> links = new HashMap<>();
    private long lastId;

    /**
     * Creates the links; none is open.
     *
     * @param transport opens them
     * @param clock the monotonic time in nanoseconds
     */
    public RelayLinks(RelayTransport transport, LongSupplier clock) {
        this.transport = transport;
        this.clock = clock;
    }

    /**
     * Returns an id for a request or a transaction.
     *
     * @return a number that this process has not used before
     */
    public long nextId() {
        return ++lastId;
    }

    /**
     * Orders hosts for a client account; those that are avoided come last.
     *
     * @param account the client account
     * @param hosts the hosts of an endpoint
     * @return the hosts, the preferred one first
     */
    public List<RelayHostAddress> rank(ClientAccountId account, List<RelayHostAddress> hosts) {
        Map<String, RelayHostAddress> byId = new HashMap<>();
        hosts.forEach(host -> byId.put(host.proxyId(), host));
        List<RelayHostAddress> usable = new ArrayList<>();
        List<RelayHostAddress> avoided = new ArrayList<>();
        for (String id : RendezvousHash.rank(account.value(), byId.keySet())) {
            RelayHostAddress host = byId.get(id);
            (link(host).isUsable() ? usable : avoided).add(host);
        }
        avoided.sort(
                (one, other) ->
                        Long.signum(link(one).avoidUntilNanos() - link(other).avoidUntilNanos()));
        usable.addAll(avoided);
        return usable;
    }

    private RelayLink link(RelayHostAddress host) {
        return links.computeIfAbsent(
                host.address(), address -> new RelayLink(address, transport, clock));
    }

    /**
     * Tells whether a host is not avoided.
     *
     * @param host the host
     * @return false for some time after it failed
     */
    public boolean isUsable(RelayHostAddress host) {
        return link(host).isUsable();
    }

    /**
     * Returns which opening of the link is in use.
     *
     * @param host the host
     * @return a number that differs for each opening; 0 while the link is closed
     */
    public long generation(RelayHostAddress host) {
        return link(host).generation();
    }

    /**
     * Sends a request once the link is open.
     *
     * @param host the host
     * @param correlationId an id of {@link #nextId}
     * @param request the request
     * @param done receives its one outcome, unless it is abandoned
     */
    public void send(
            RelayHostAddress host,
            long correlationId,
            RelayRequest request,
            Consumer<RelayOutcome> done) {
        link(host).send(correlationId, request, done);
    }

    /**
     * Gives up a request and tells the host.
     *
     * @param host the host
     * @param correlationId the request's id
     * @param closing the message that ends it at the host
     * @return what is known of it; null when it has its outcome already
     */
    public RelayOutcome abandon(RelayHostAddress host, long correlationId, RelayRequest closing) {
        return link(host).abandon(correlationId, closing);
    }

    /**
     * Sends a message that expects no answer, unless the link is closed.
     *
     * @param host the host
     * @param closing the message
     */
    public void close(RelayHostAddress host, RelayRequest closing) {
        link(host).close(closing);
    }

    /**
     * Records that a transaction has begun on a link, which keeps the link open.
     *
     * @param host the host
     */
    public void onTransactionBegun(RelayHostAddress host) {
        link(host).addTransactions(1);
    }

    /**
     * Records that a transaction has ended.
     *
     * @param host the host
     */
    public void onTransactionEnded(RelayHostAddress host) {
        link(host).addTransactions(-1);
    }

    /**
     * Avoids a host that takes no new statements.
     *
     * @param host the host
     */
    public void avoid(RelayHostAddress host) {
        link(host).avoid();
    }

    /**
     * Returns for how long a host has sent nothing.
     *
     * @param host the host
     * @param sinceNanos a time from which on it is counted
     * @return nanoseconds since its last frame or that time, whichever is later
     */
    public long silenceNanos(RelayHostAddress host, long sinceNanos) {
        return link(host).silenceNanos(sinceNanos);
    }

    /** Looks for silent hosts. */
    public void tick() {
        List.copyOf(links.values()).forEach(RelayLink::tick);
    }

    /**
     * Closes links that no endpoint, statement or transaction needs.
     *
     * @param needed the addresses of all hosts
     */
    public void retain(Set<HostPort> needed) {
        Set<HostPort> unneeded =
                links.entrySet().stream()
                        .filter(each -> !needed.contains(each.getKey()))
                        .filter(each -> !each.getValue().isNeeded())
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        unneeded.forEach(address -> links.remove(address).shutDown());
    }

    /** Closes all links. */
    public void shutDown() {
        List.copyOf(links.values()).forEach(RelayLink::shutDown);
        transport.close();
    }
}
