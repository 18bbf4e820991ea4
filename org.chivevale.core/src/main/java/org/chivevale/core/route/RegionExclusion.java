package org.chivevale.core.route;

import java.util.Collection;
import org.chivevale.core.config.AllowedRegions;

/**
 * Decides whether a request has to be rejected because of the regions it may run in.
 *
 * <p>Invariant: a request is rejected only if no known endpoint that could serve it is permitted,
 * and never while the regions of those endpoints are unknown, since it can then wait for them.
 * Stateless and thread safe.
 */
public final class RegionExclusion {
    private RegionExclusion() {}

    /**
     * Explains why only the regions keep a request from its primary.
     *
     * @param allowed the regions it may run in
     * @param primaryRegion the primary's region; null or empty when it is unknown
     * @return the reason to reject the request, or null when there is none
     */
    public static String atPrimary(AllowedRegions allowed, String primaryRegion) {
        if (allowed.isEmpty()) {
            return noCommonRegion();
        }
        boolean unknown = primaryRegion == null || primaryRegion.isEmpty();
        return unknown || allowed.permits(primaryRegion)
                ? null
                : "the primary is in region "
                        + primaryRegion
                        + ", the request may run in "
                        + allowed.toList()
                        + " only";
    }

    /**
     * Explains why only the regions keep a read from every member of its group.
     *
     * @param allowed the regions it may run in
     * @param memberRegions the regions of the group's members; empty when they are unknown
     * @return the reason to reject the request, or null when there is none
     */
    public static String atMembers(AllowedRegions allowed, Collection<String> memberRegions) {
        if (allowed.isEmpty()) {
            return noCommonRegion();
        }
        return memberRegions.isEmpty() || memberRegions.stream().anyMatch(allowed::permits)
                ? null
                : "the group has no endpoint in the regions "
                        + allowed.toList()
                        + ", where the request may run";
    }

    private static String noCommonRegion() {
        return "the route and the client account permit no common region";
    }
}
