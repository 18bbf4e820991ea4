package org.chivevale.proxy.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Group;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.lease.LeaseHolder;
import org.chivevale.core.route.EndpointAvailability;
import org.chivevale.core.settings.HostPort;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointMember;
import org.chivevale.wire.proto.GroupState;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.ProxyMember;
import org.chivevale.wire.proto.RenewAnswer;
import org.jboss.logging.Logger;

/**
 * The state that this proxy has received from control: its lease, the configuration, the members.
 *
 * <p>Invariant: the lease is extended only once the configuration in force is at least as new as
 * the version that came with the grant. Used on the event loop.
 */
public final class Directory {
    private static final Logger LOG = Logger.getLogger(Directory.class);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Configuration configuration = new Configuration();
    private final EndpointAvailability availability = new EndpointAvailability(configuration);
    private final LeaseHolder lease;
    private final Map<String, List<EndpointMember>> endpointsByGroup = new HashMap<>();
    private final Set<String> coldEndpoints = new HashSet<>();
    private final Map<String, ProxyMember> proxies = new HashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private final Set<GroupId> fencing = new HashSet<>();
    private long membersVersion;
    private int proxyCount;

    /**
     * Creates an empty directory.
     *
     * @param settings the process's settings
     */
    public Directory(ProxySettings settings) {
        this.lease = new LeaseHolder(settings.timing().leaseMarginMillis() * NANOS_PER_MILLI);
    }

    /**
     * Adds a listener that is notified after each change.
     *
     * @param listener runs on the event loop
     */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Applies a granted renewal: first configuration and members, then the lease. Drops the lease
     * and fails if the configuration cannot be applied.
     *
     * @param answer the response
     * @param sentAtNanos when the request was sent, on the monotonic clock
     */
    public void applyRenewal(RenewAnswer answer, long sentAtNanos) {
        fencing.clear();
        proxyCount = answer.getProxyCount();
        long versionBefore = configuration.version();
        // A proxy that was without a lease learns of an evacuation late: its open transactions end
        // as if it had learned of it when its lease expired.
        long learnedAtNanos = lease.lastValidNanos(EventLoop.nowNanos());
        applyConfiguration(answer);
        if (answer.getMembersIncluded()) {
            updateMembers(answer);
        }
        availability.onConfigurationChange(learnedAtNanos);
        if (configuration.version() >= answer.getConfigVersion()) {
            lease.onGranted(sentAtNanos, answer.getLeaseMillis() * NANOS_PER_MILLI);
        }
        if (versionBefore != configuration.version() || answer.getMembersIncluded()) {
            listeners.forEach(Runnable::run);
        }
    }

    private void applyConfiguration(RenewAnswer answer) {
        try {
            if (answer.hasSnapshot()) {
                configuration.restore(answer.getSnapshot());
            }
            answer.getEntriesList().forEach(configuration::apply);
        } catch (RuntimeException e) {
            lease.drop();
            throw e;
        }
    }

    /**
     * Begins to fence the groups whose primary a response removes.
     *
     * @param answer the leader's response to a renewal
     * @return the groups; no more statements are sent to their primaries from now on
     */
    public Set<GroupId> beginFencing(RenewAnswer answer) {
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

    /** Ends the fencing of all groups, as when the response that began it is given up. */
    public void endFencing() {
        fencing.clear();
    }

    /**
     * Returns whether a group is being fenced, so that its primary gets no more statements.
     *
     * @param group the group
     * @return true from the receipt of a fence until it is in force or given up
     */
    public boolean isFencing(GroupId group) {
        return fencing.contains(group);
    }

    private void updateMembers(RenewAnswer answer) {
        membersVersion = answer.getMembersVersion();
        List<EndpointMember> endpoints =
                answer.getEndpointsList().stream().filter(Directory::isReadable).toList();
        availability.setMembers(endpoints);
        endpointsByGroup.clear();
        coldEndpoints.clear();
        for (EndpointMember member : endpoints) {
            endpointsByGroup
                    .computeIfAbsent(member.getGroupId(), key -> new ArrayList<>())
                    .add(member);
            if (member.getCold()) {
                coldEndpoints.add(coldKey(member.getGroupId(), member.getEndpointId()));
            }
        }
        proxies.clear();
        answer.getProxiesList().forEach(proxy -> proxies.put(proxy.getProxyId(), proxy));
    }

    /** Tells whether an entry can be used; one that cannot must not keep the others out. */
    private static boolean isReadable(EndpointMember member) {
        try {
            new EndpointId(member.getEndpointId());
            GroupId.parse(member.getGroupId());
            HostPort.parse(member.getHost() + ":" + member.getPort());
            return true;
        } catch (ChivevaleException e) {
            LOG.warnf("endpoint '%s' is ignored: %s", member.getEndpointId(), e);
            return false;
        }
    }

    /**
     * Returns whether this proxy holds a valid lease.
     *
     * @param nowNanos the monotonic time
     * @return true while the proxy may serve requests
     */
    public boolean isLeased(long nowNanos) {
        return lease.isValid(nowNanos);
    }

    /** Gives up the lease. */
    public void dropLease() {
        lease.drop();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the live object, which callers must not change
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the version of the member lists.
     *
     * @return 0 before the first list
     */
    public long membersVersion() {
        return membersVersion;
    }

    /**
     * Returns whether a write sent to a primary in a term may be acknowledged.
     *
     * @param group the group
     * @param term the term in which it was sent
     * @param primary the primary to which it was sent
     * @param nowNanos the monotonic time
     * @return true while the lease is valid and the configuration still has both
     */
    public boolean isStillPrimary(GroupId group, long term, EndpointId primary, long nowNanos) {
        Group current = configuration.group(group);
        return isLeased(nowNanos) && current.term() == term && primary.equals(current.primary());
    }

    /**
     * Returns which endpoints may get work while data centres are evacuated.
     *
     * @return the live object, which callers must not change
     */
    public EndpointAvailability availability() {
        return availability;
    }

    /**
     * Returns why a request for a group must not wait for an endpoint.
     *
     * @param group the group
     * @return the reason; null when the request may wait
     */
    public String rejection(GroupId group) {
        return availability.rejection(group, members(group));
    }

    /**
     * Lists the replicas that may serve reads in a group's term.
     *
     * @param group the group
     * @return the members, without those that may not get new work
     */
    public List<EndpointMember> servingReplicas(Group group) {
        List<EndpointMember> serving = new ArrayList<>();
        for (EndpointMember member : members(group.id())) {
            boolean primary =
                    group.primary() != null
                            && member.getEndpointId().equals(group.primary().value());
            boolean inService = member.getInServiceTerm() == group.term() && group.term() > 0;
            if (!primary
                    && inService
                    && availability.isOpen(group.id(), new EndpointId(member.getEndpointId()))) {
                serving.add(member);
            }
        }
        return serving;
    }

    /**
     * Lists the members of a group.
     *
     * @param group the group
     * @return the endpoints; empty when none is announced
     */
    public List<EndpointMember> members(GroupId group) {
        return endpointsByGroup.getOrDefault(group.toString(), List.of());
    }

    /**
     * Tells whether an endpoint may receive only its database's warm-up rate.
     *
     * @param group the group
     * @param endpoint the endpoint
     * @return true while control names it as cold
     */
    public boolean isCold(GroupId group, EndpointId endpoint) {
        return !coldEndpoints.isEmpty()
                && coldEndpoints.contains(coldKey(group.toString(), endpoint.value()));
    }

    /**
     * Returns the incarnation of an endpoint.
     *
     * @param group the group
     * @param endpoint the endpoint
     * @return the incarnation in the list of members; 0 when it is not in it
     */
    public long incarnation(GroupId group, EndpointId endpoint) {
        for (EndpointMember member : members(group)) {
            if (member.getEndpointId().equals(endpoint.value())) {
                return member.getIncarnation();
            }
        }
        return 0;
    }

    private static String coldKey(String group, String endpoint) {
        return group + "/" + endpoint;
    }

    /**
     * Finds the region of a data centre by the endpoints in it.
     *
     * @param dataCenter the data centre
     * @return its region; empty when no endpoint is announced there
     */
    public String regionOfDataCenter(String dataCenter) {
        for (List<EndpointMember> members : endpointsByGroup.values()) {
            for (EndpointMember member : members) {
                if (member.getDataCenter().equals(dataCenter)) {
                    return member.getRegion();
                }
            }
        }
        return "";
    }

    /**
     * Returns how many proxies share what counts over the fleet, such as rates.
     *
     * @return the number that the leader gave last; 0 before the first renewal
     */
    public int proxyCount() {
        return proxyCount;
    }

    /**
     * Lists the proxies that requests can be forwarded to.
     *
     * @return the proxies by id; empty for a proxy that asks control for endpoints only
     */
    public Map<String, ProxyMember> proxies() {
        return proxies;
    }

    /**
     * Finds the address for requests forwarded to another proxy.
     *
     * @param proxyId the proxy's id
     * @return its address, or null when the proxy is unknown
     */
    public HostPort forwardAddress(String proxyId) {
        ProxyMember member = proxies.get(proxyId);
        return member == null ? null : new HostPort(member.getHost(), member.getPort());
    }
}
