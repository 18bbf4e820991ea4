package org.chivevale.proxy.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.lease.LeaseHolder;
import org.chivevale.core.settings.HostPort;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointMember;
import org.chivevale.wire.proto.GroupState;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.ProxyMember;
import org.chivevale.wire.proto.RenewAnswer;

/**
 * What this proxy knows of the fleet: its lease, the configuration, the members.
 *
 * <p>Invariant: the configuration in force is at least the one that the lease acknowledges. Used on
 * the event loop.
 */
public final class Directory {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Configuration configuration = new Configuration();
    private final LeaseHolder lease;
    private final Map<String, List<EndpointMember>> endpointsByGroup = new HashMap<>();
    private final Map<String, ProxyMember> proxies = new HashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private final Set<GroupId> fencing = new HashSet<>();
    private long membersVersion;

    /**
     * Creates an empty directory.
     *
     * @param settings the process's settings
     */
    public Directory(ProxySettings settings) {
        this.lease = new LeaseHolder(settings.timing().leaseMarginMillis() * NANOS_PER_MILLI);
    }

    /**
     * Adds who is told after each change.
     *
     * @param listener runs on the event loop
     */
    public void listen(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Takes a granted lease with all that came with it; the lease counts last.
     *
     * @param answer the answer
     * @param askedAtNanos when the request was sent
     */
    public void renewed(RenewAnswer answer, long askedAtNanos) {
        fencing.clear();
        long before = configuration.version();
        if (answer.hasSnapshot()) {
            configuration.restore(answer.getSnapshot());
        }
        for (LogEntry entry : answer.getEntriesList()) {
            configuration.apply(entry);
        }
        if (answer.getMembersIncluded()) {
            takeMembers(answer);
        }
        if (configuration.version() >= answer.getConfigVersion()) {
            lease.onGranted(askedAtNanos, answer.getLeaseMillis() * NANOS_PER_MILLI);
        }
        if (before != configuration.version() || answer.getMembersIncluded()) {
            listeners.forEach(Runnable::run);
        }
    }

    /**
     * Finds the groups whose primary an answer takes away.
     *
     * @param answer what a leader has sent
     * @return the groups; no more statements go to their primaries from now on
     */
    public Set<GroupId> beginFence(RenewAnswer answer) {
        fencing.clear();
        for (LogEntry entry : answer.getEntriesList()) {
            for (Change change : entry.getChangesList()) {
                GroupState state = change.getGroupState();
                if (change.hasGroupState() && state.getPrimaryEndpointId().isEmpty()) {
                    fencing.add(GroupId.parse(state.getGroupId()));
                }
            }
        }
        return Set.copyOf(fencing);
    }

    /**
     * Tells whether a group's primary takes no more statements.
     *
     * @param group the group
     * @return true while its fence is being put in force
     */
    public boolean fencing(GroupId group) {
        return fencing.contains(group);
    }

    private void takeMembers(RenewAnswer answer) {
        membersVersion = answer.getMembersVersion();
        endpointsByGroup.clear();
        for (EndpointMember member : answer.getEndpointsList()) {
            endpointsByGroup
                    .computeIfAbsent(member.getGroupId(), key -> new ArrayList<>())
                    .add(member);
        }
        proxies.clear();
        answer.getProxiesList().forEach(proxy -> proxies.put(proxy.getProxyId(), proxy));
    }

    /**
     * Tells whether the lease stands.
     *
     * @param nowNanos the monotonic time
     * @return true while this proxy may act
     */
    public boolean leased(long nowNanos) {
        return lease.isValid(nowNanos);
    }

    /** Gives the lease up. */
    public void dropLease() {
        lease.drop();
    }

    /**
     * Returns the configuration.
     *
     * @return to be read only
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the version of the members.
     *
     * @return 0 before the first
     */
    public long membersVersion() {
        return membersVersion;
    }

    /**
     * Tells whether a write sent under a term may be acknowledged.
     *
     * @param group the group
     * @param term the term under which it was sent
     * @param primary the primary to which it was sent
     * @param nowNanos the monotonic time
     * @return true while the lease stands and still names both
     */
    public boolean stillPrimary(GroupId group, long term, EndpointId primary, long nowNanos) {
        Group now = configuration.group(group);
        return leased(nowNanos) && now.term() == term && primary.equals(now.primary());
    }

    /**
     * Lists the replicas that may serve reads in a group's term.
     *
     * @param group the group
     * @return the members
     */
    public List<EndpointMember> replicas(Group group) {
        List<EndpointMember> serving = new ArrayList<>();
        for (EndpointMember member : members(group.id())) {
            boolean primary =
                    group.primary() != null
                            && member.getEndpointId().equals(group.primary().value());
            if (!primary && member.getInServiceTerm() == group.term() && group.term() > 0) {
                serving.add(member);
            }
        }
        return serving;
    }

    /**
     * Lists the members of a group.
     *
     * @param group the group
     * @return empty when none is announced
     */
    public List<EndpointMember> members(GroupId group) {
        return endpointsByGroup.getOrDefault(group.toString(), List.of());
    }

    /**
     * Lists the proxies.
     *
     * @return by their ids
     */
    public Map<String, ProxyMember> proxies() {
        return proxies;
    }

    /**
     * Finds where another proxy is reached.
     *
     * @param proxyId the proxy
     * @return its address, or null
     */
    public HostPort forwardAddress(String proxyId) {
        ProxyMember member = proxies.get(proxyId);
        return member == null ? null : new HostPort(member.getHost(), member.getPort());
    }
}
