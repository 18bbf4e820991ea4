package org.chivevale.control.internal.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.wire.proto.EndpointMember;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.ProxyMember;

/**
 * The live endpoints, by their announcements, and the live proxies, by their lease renewals.
 *
 * <p>Invariants: the version increases with every difference and is unchanged by mere renewals; an
 * endpoint whose announcement has expired serves no reads; a group's primary is only replaced by a
 * failover, so it is retained when its announcement expires. Used on the event loop.
 */
public final class Membership {
    private final Configuration configuration;
    private final Map<String, Announced> instances = new TreeMap<>();
    private final Map<String, ProxyMemberState> proxies = new TreeMap<>();
    private final ColdEndpoints coldEndpoints;
    private long version;
    private long endpointsVersion;

    private record Announced(InstanceAnnouncement announcement, long expiryNanos) {}

    /**
     * Creates an empty membership.
     *
     * @param configuration contains the primaries
     * @param firstVersion the first version; versions of different leaders must not overlap
     */
    public Membership(Configuration configuration, long firstVersion) {
        this.configuration = configuration;
        this.coldEndpoints = new ColdEndpoints(configuration);
        this.version = firstVersion;
        this.endpointsVersion = firstVersion;
    }

    /**
     * Adds or updates an instance; an announcement of an earlier incarnation is ignored.
     *
     * @param announcement the announcement
     * @param expiryNanos the monotonic time at which it expires
     */
    public void announce(InstanceAnnouncement announcement, long expiryNanos) {
        String key = key(announcement.endpoint(), announcement.group());
        Announced before = instances.get(key);
        boolean outdated =
                before != null && before.announcement().incarnation() > announcement.incarnation();
        if (outdated) {
            return;
        }
        instances.put(key, new Announced(announcement, expiryNanos));
        boolean wasCold = coldEndpoints.onAnnounced(announcement);
        if (wasCold || before == null || !before.announcement().equals(announcement)) {
            onEndpointsChanged();
        }
    }

    /**
     * Removes an instance that has shut down.
     *
     * @param endpoint the endpoint
     * @param group the database group
     */
    public void remove(EndpointId endpoint, GroupId group) {
        if (instances.remove(key(endpoint, group)) != null) {
            onEndpointsChanged();
        }
    }

    private static String key(EndpointId endpoint, GroupId group) {
        return group + "/" + endpoint;
    }

    /**
     * Removes expired announcements, except those of primaries.
     *
     * @param nowNanos the monotonic time
     */
    public void removeExpired(long nowNanos) {
        boolean removed =
                instances
                        .values()
                        .removeIf(
                                announced ->
                                        nowNanos - announced.expiryNanos() >= 0
                                                && !isPrimary(announced.announcement()));
        if (removed) {
            onEndpointsChanged();
        }
    }

    private boolean isPrimary(InstanceAnnouncement announcement) {
        Group group = configuration.group(announcement.group());
        return announcement.endpoint().equals(group.primary());
    }

    private void onEndpointsChanged() {
        version++;
        endpointsVersion++;
    }

    /**
     * Updates which endpoints are cold after entries of the log were applied.
     *
     * @param entries the entries; empty when the configuration was restored from a snapshot
     */
    public void updateCold(List<LogEntry> entries) {
        List<InstanceAnnouncement> live =
                instances.values().stream().map(Announced::announcement).toList();
        boolean changed = coldEndpoints.update(entries, live);
        changed |= takeOverRegisteredCold();
        if (changed) {
            onEndpointsChanged();
        }
    }

    /** Increases the versions, since a new primary changes which instances may serve reads. */
    public void onConfigurationChange() {
        onEndpointsChanged();
    }

    /** Takes over which registered instances the configuration names as cold. */
    private boolean takeOverRegisteredCold() {
        boolean changed = false;
        for (Map.Entry<String, Announced> entry : instances.entrySet()) {
            InstanceAnnouncement known = entry.getValue().announcement();
            EndpointPut registered = configuration.endpoint(known.group(), known.endpoint());
            if (registered != null && registered.getCold() != known.cold()) {
                entry.setValue(
                        new Announced(
                                known.withCold(registered.getCold()),
                                entry.getValue().expiryNanos()));
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Adds or updates a proxy by its lease renewal.
     *
     * @param proxy the proxy's state from the renewal
     * @return false when a later renewal of the proxy was accepted before
     */
    public boolean updateProxy(ProxyMemberState proxy) {
        ProxyMemberState before = proxies.get(proxy.id());
        if (before != null) {
            boolean outdated =
                    before.incarnation() > proxy.incarnation()
                            || before.incarnation() == proxy.incarnation()
                                    && before.sequence() >= proxy.sequence();
            if (outdated) {
                return false;
            }
        }
        proxies.put(proxy.id(), proxy);
        boolean moved =
                before == null
                        || before.incarnation() != proxy.incarnation()
                        || !Objects.equals(before.forwardAddress(), proxy.forwardAddress());
        if (moved) {
            version++;
        }
        return true;
    }

    /**
     * Removes a proxy that has shut down or lost its lease.
     *
     * @param proxyId id of the proxy
     */
    public void removeProxy(String proxyId) {
        if (proxies.remove(proxyId) != null) {
            version++;
        }
    }

    /**
     * Returns the version of the membership.
     *
     * @return a number that increases with every difference
     */
    public long version() {
        return version;
    }

    /**
     * Returns the version of the endpoints alone.
     *
     * @return a number that increases with every difference of the endpoints
     */
    public long endpointsVersion() {
        return endpointsVersion;
    }

    /**
     * Lists the proxies.
     *
     * @return the proxies, in the order of their ids
     */
    public Collection<ProxyMemberState> proxies() {
        return List.copyOf(proxies.values());
    }

    /**
     * Lists the instances of a group.
     *
     * @param group the group
     * @return the announcements, in the order of the endpoint ids
     */
    public List<InstanceAnnouncement> instances(GroupId group) {
        List<InstanceAnnouncement> found = new ArrayList<>();
        for (Announced announced : instances.values()) {
            if (announced.announcement().group().equals(group)) {
                found.add(announced.announcement());
            }
        }
        return found;
    }

    /**
     * Lists all instances by group.
     *
     * @return a new map
     */
    public Map<GroupId, List<InstanceAnnouncement>> instancesByGroup() {
        Map<GroupId, List<InstanceAnnouncement>> byGroup = new HashMap<>();
        for (Announced announced : instances.values()) {
            byGroup.computeIfAbsent(announced.announcement().group(), key -> new ArrayList<>())
                    .add(announced.announcement());
        }
        return byGroup;
    }

    /**
     * Finds an instance.
     *
     * @param endpoint the endpoint
     * @param group the group
     * @return the announcement; null when the instance is unknown
     */
    public InstanceAnnouncement instance(EndpointId endpoint, GroupId group) {
        Announced announced = instances.get(key(endpoint, group));
        return announced == null ? null : announced.announcement();
    }

    /**
     * Tells whether an instance's announcement has not expired.
     *
     * @param announcement the instance
     * @param nowNanos the monotonic time
     * @return false for a primary that is retained after its announcement has expired
     */
    public boolean isFresh(InstanceAnnouncement announcement, long nowNanos) {
        Announced announced = instances.get(key(announcement.endpoint(), announcement.group()));
        return announced != null && nowNanos - announced.expiryNanos() < 0;
    }

    /**
     * Encodes the instances for proxies.
     *
     * @return one message per instance
     */
    public List<EndpointMember> endpointMessages() {
        List<EndpointMember> messages = new ArrayList<>();
        for (Announced announced : instances.values()) {
            messages.add(endpointMessage(announced.announcement()));
        }
        return messages;
    }

    private EndpointMember endpointMessage(InstanceAnnouncement instance) {
        return EndpointMember.newBuilder()
                .setEndpointId(instance.endpoint().value())
                .setGroupId(instance.group().toString())
                .setHost(instance.address().host())
                .setPort(instance.address().port())
                .setDataCenter(instance.dataCenter())
                .setRegion(instance.region())
                .setIncarnation(instance.incarnation())
                .setTimeline(instance.timeline())
                .setLeaving(instance.shuttingDown())
                .setConnectionLimit(instance.connectionLimit())
                .setInServiceTerm(inServiceTerm(instance))
                .setCold(instance.cold() || coldEndpoints.isCold(instance))
                .build();
    }

    /** Returns the term in which an instance may serve reads; 0 while it may not. */
    private long inServiceTerm(InstanceAnnouncement instance) {
        Group group = configuration.group(instance.group());
        if (instance.followsAutomatically()) {
            return instance.shuttingDown() ? 0 : group.term();
        }
        if (group.primary() == null) {
            return 0;
        }
        if (instance.timeline() != group.term()) {
            return 0;
        }
        if (instance.endpoint().equals(group.primary())) {
            return instance.primary() ? group.term() : 0;
        }
        boolean follows =
                !instance.primary() && instance.upstream().equals(group.address().toString());
        return follows && !instance.shuttingDown() ? group.term() : 0;
    }

    /**
     * Encodes the list of proxies for proxies.
     *
     * @return one message per proxy
     */
    public List<ProxyMember> proxyMessages() {
        List<ProxyMember> messages = new ArrayList<>();
        for (ProxyMemberState proxy : proxies.values()) {
            messages.add(
                    ProxyMember.newBuilder()
                            .setProxyId(proxy.id())
                            .setHost(proxy.forwardAddress().host())
                            .setPort(proxy.forwardAddress().port())
                            .setIncarnation(proxy.incarnation())
                            .setDataCenter(proxy.dataCenter())
                            .build());
        }
        return messages;
    }
}
