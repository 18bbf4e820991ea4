package org.chivevale.proxy.internal.pool;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseConnector;
import org.chivevale.database.DatabaseConnectors;
import org.chivevale.database.PostgresConnectorOptions;
import org.chivevale.process.EventLoop;
import org.chivevale.process.Metrics;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.ControlLink;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.fleet.RenewalParticipant;
import org.chivevale.wire.proto.ConnectionDemand;
import org.chivevale.wire.proto.ConnectionShare;
import org.chivevale.wire.proto.EndpointMember;
import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;
import org.jboss.logging.Logger;

/**
 * The connection pools of this proxy; a pool is created when its instance is first used.
 *
 * <p>Used on the event loop.
 */
public final class PoolService implements Service, RenewalParticipant {
    /** Service name in the kernel. */
    public static final String NAME = "pools";

    private static final Logger LOG = Logger.getLogger(PoolService.class);
    private static final long TICK_MILLIS = 20;
    private static final long PROBE_INTERVAL_MILLIS = 250;
    private static final long SHARE_REQUEST_INTERVAL_NANOS = 100_000_000;
    private static final String LOGIN_ROLE = "chivevale";

    private final ProxySettings settings;
    private final Directory directory;
    private final Map<InstanceKey, InstancePool> pools = new HashMap<>();
    private DatabaseConnector connector;
    private ControlLink link;
    private long lastShareRequestNanos;

    /**
     * Prepares the service; it has no pools at first.
     *
     * @param settings the process's settings
     * @param directory the configuration and the members
     */
    public PoolService(ProxySettings settings, Directory directory) {
        this.settings = settings;
        this.directory = directory;
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        link = kernel.find(ControlLink.NAME, ControlLink.class);
        connector =
                DatabaseConnectors.postgres(
                        loop.vertx(),
                        new PostgresConnectorOptions(
                                LOGIN_ROLE,
                                settings.databasePassword(),
                                settings.timing().connectTimeoutMillis()));
        MeterRegistry registry = kernel.find(Metrics.NAME, Metrics.class).registry();
        registry.gauge("chivevale.proxy.pool.connections", this, PoolService::connectionCount);
        registry.gauge("chivevale.proxy.pool.waiting", this, PoolService::requestsInFlight);
        loop.runAndWait(
                () -> {
                    link.addRenewalParticipant(this);
                    directory.addListener(this::onMembersChanged);
                });
        loop.every(TICK_MILLIS, () -> pools.values().forEach(InstancePool::tick));
        loop.every(PROBE_INTERVAL_MILLIS, this::probeIdleConnections);
    }

    private int connectionCount() {
        return pools.values().stream().mapToInt(InstancePool::limitInForce).sum();
    }

    private int requestsInFlight() {
        return pools.values().stream().mapToInt(InstancePool::inFlight).sum();
    }

    /**
     * Returns the pool of a group's primary; creates it if necessary.
     *
     * @param group a group that has a primary
     * @return the pool, with the primary's current address
     */
    public InstancePool primaryPool(Group group) {
        return pool(new InstanceKey(group.primary(), group.id()), group.address());
    }

    /**
     * Returns the pool of a group member; creates it if necessary.
     *
     * @param member the primary or a replica of a group
     * @return the pool, with the member's current address
     */
    public InstancePool memberPool(EndpointMember member) {
        return pool(
                new InstanceKey(
                        new EndpointId(member.getEndpointId()), GroupId.parse(member.getGroupId())),
                new HostPort(member.getHost(), member.getPort()));
    }

    private InstancePool pool(InstanceKey key, HostPort address) {
        InstancePool pool = pools.get(key);
        if (pool == null) {
            pool =
                    new InstancePool(
                            key,
                            address,
                            connector,
                            settings.limits().queuedPerAccount(),
                            this::requestLargerShare);
            pools.put(key, pool);
            link.renewSoon();
        }
        pool.setAddress(address);
        return pool;
    }

    private void requestLargerShare() {
        long now = EventLoop.nowNanos();
        if (now - lastShareRequestNanos > SHARE_REQUEST_INTERVAL_NANOS) {
            lastShareRequestNanos = now;
            link.renewSoon();
        }
    }

    private void onMembersChanged() {
        List<InstanceKey> removed = new ArrayList<>();
        for (InstancePool pool : pools.values()) {
            updateBlocked(pool);
            if (!isServing(pool.key())) {
                pool.failWaitingRequests();
            }
            if (!isMember(pool.key()) && pool.isUnused()) {
                removed.add(pool.key());
            }
        }
        removed.forEach(key -> pools.remove(key).close());
    }

    /** Stops work at an endpoint in an evacuated data centre, and allows it again later. */
    private void updateBlocked(InstancePool pool) {
        InstanceKey key = pool.key();
        String reason = directory.availability().reason(key.group(), key.endpoint());
        boolean blocked = !reason.isEmpty();
        if (blocked != pool.isBlocked()) {
            LOG.infof("%s %s", key, blocked ? "gets no new work: " + reason : "may get work again");
            pool.setBlocked(blocked);
        }
    }

    private boolean isServing(InstanceKey key) {
        Group group = directory.configuration().group(key.group());
        return key.endpoint().equals(group.primary())
                || containsEndpoint(directory.servingReplicas(group), key.endpoint());
    }

    private boolean isMember(InstanceKey key) {
        Group group = directory.configuration().group(key.group());
        return key.endpoint().equals(group.primary())
                || containsEndpoint(directory.members(key.group()), key.endpoint());
    }

    private static boolean containsEndpoint(List<EndpointMember> members, EndpointId endpoint) {
        return members.stream().anyMatch(member -> member.getEndpointId().equals(endpoint.value()));
    }

    private void probeIdleConnections() {
        for (InstancePool pool : pools.values()) {
            DatabaseConnection connection = pool.acquireForProbe();
            if (connection != null) {
                pool.runAndRelease(
                        connection,
                        DatabaseConnection::memberStatus,
                        settings.timing().statementTimeoutMillis());
            }
        }
    }

    /**
     * Returns all pools.
     *
     * @return a live view
     */
    public Collection<InstancePool> pools() {
        return pools.values();
    }

    @Override
    public void addTo(RenewRequest.Builder request) {
        for (InstancePool pool : pools.values()) {
            request.addConnectionDemands(
                    ConnectionDemand.newBuilder()
                            .setEndpointId(pool.key().endpoint().value())
                            .setGroupId(pool.key().group().toString())
                            .setWanted(pool.takePeakDemand() + 1)
                            .setLimitInForce(pool.limitInForce()));
        }
    }

    @Override
    public void onRenewed(RenewAnswer answer) {
        for (ConnectionShare share : answer.getConnectionSharesList()) {
            InstanceKey key =
                    new InstanceKey(
                            new EndpointId(share.getEndpointId()),
                            GroupId.parse(share.getGroupId()));
            InstancePool pool = pools.get(key);
            if (pool != null) {
                pool.setShare(share.getLimit());
            }
        }
    }

    @Override
    public void stop() {
        pools.values().forEach(InstancePool::close);
    }
}
