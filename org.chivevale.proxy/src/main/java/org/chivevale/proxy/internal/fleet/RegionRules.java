package org.chivevale.proxy.internal.fleet;

import java.util.List;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Group;
import org.chivevale.core.config.Route;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.route.RegionExclusion;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.wire.proto.EndpointMember;
import org.chivevale.wire.proto.ProxyMember;

/**
 * Applies the regions of routes and client accounts to endpoints and other proxies.
 *
 * <p>Invariant: an endpoint or data centre whose region is unknown is permitted only to requests
 * without a restriction. Used on the event loop.
 */
public final class RegionRules {
    private final ProxySettings settings;
    private final Directory directory;

    /**
     * Creates the rules.
     *
     * @param settings this proxy's region and data centre
     * @param directory configuration and members
     */
    public RegionRules(ProxySettings settings, Directory directory) {
        this.settings = settings;
        this.directory = directory;
    }

    /**
     * Returns the regions that a request on a route may run in.
     *
     * @param route the route
     * @param account the client account
     * @return the regions that both permit
     */
    public AllowedRegions allowed(Route route, ClientAccountId account) {
        return AllowedRegions.ofRequest(directory.configuration(), route, account);
    }

    /**
     * Returns the regions that a request without a route may run in.
     *
     * @param account the client account
     * @return the regions that it permits
     */
    public AllowedRegions allowed(ClientAccountId account) {
        return AllowedRegions.ofAccount(directory.configuration(), account);
    }

    /**
     * Tells whether a request may run at an endpoint.
     *
     * @param allowed the regions that the request may run in
     * @param group the endpoint's group
     * @param endpoint the endpoint
     * @return true when the endpoint's region is permitted
     */
    public boolean permits(AllowedRegions allowed, GroupId group, EndpointId endpoint) {
        return !allowed.isRestricted() || allowed.permits(regionOf(group, endpoint));
    }

    private String regionOf(GroupId group, EndpointId endpoint) {
        for (EndpointMember member : directory.members(group)) {
            if (member.getEndpointId().equals(endpoint.value())) {
                return member.getRegion();
            }
        }
        return "";
    }

    /**
     * Explains why a request cannot run anywhere because of its regions.
     *
     * @param allowed the regions that the request may run in
     * @param group the group that it addresses
     * @param primaryOnly true when only the primary could serve it
     * @return the reason to reject it at once, or null when there is none
     */
    public String findExclusion(AllowedRegions allowed, Group group, boolean primaryOnly) {
        if (!allowed.isRestricted()) {
            return null;
        }
        if (primaryOnly) {
            return RegionExclusion.atPrimary(
                    allowed, group.primary() == null ? "" : regionOf(group.id(), group.primary()));
        }
        List<String> regions =
                directory.members(group.id()).stream().map(EndpointMember::getRegion).toList();
        return RegionExclusion.atMembers(allowed, regions);
    }

    /**
     * Tells whether the text of a request may be sent to another proxy.
     *
     * @param allowed the regions that the request may run in
     * @param proxy the other proxy
     * @return true when it is in a permitted region, or in this proxy's, which is the caller's
     */
    public boolean mayForwardTo(AllowedRegions allowed, ProxyMember proxy) {
        if (!allowed.isRestricted()) {
            return true;
        }
        String region = regionOfDataCenter(proxy.getDataCenter());
        return region.equals(settings.region()) || allowed.permits(region);
    }

    private String regionOfDataCenter(String dataCenter) {
        return dataCenter.equals(settings.dataCenter())
                ? settings.region()
                : directory.regionOfDataCenter(dataCenter);
    }
}
