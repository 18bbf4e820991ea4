package org.chivevale.core.failover;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.group.EndpointId;

/**
 * Which members of a group may become its primary, by region and by evacuated data centre.
 *
 * <p>Invariants: where regions are restricted, a member whose region is unknown is not permitted;
 * without a restriction every member is. Immutable and thread safe.
 *
 * @param regions the group's regions
 * @param inside the members that are known to be in these regions
 * @param outside the members that are known to be in other regions
 * @param evacuated the members that are known to be in evacuated data centres
 * @param liveReplicas the replicas that are live and not shutting down
 */
public record PrimaryEligibility(
        AllowedRegions regions,
        Set<EndpointId> inside,
        Set<EndpointId> outside,
        Set<EndpointId> evacuated,
        Set<EndpointId> liveReplicas) {
    /** Permits every member; no data centre is evacuated. */
    public static final PrimaryEligibility UNRESTRICTED =
            new PrimaryEligibility(AllowedRegions.ANY, Set.of(), Set.of(), Set.of(), Set.of());

    public PrimaryEligibility {
        inside = Set.copyOf(inside);
        outside = Set.copyOf(outside);
        evacuated = Set.copyOf(evacuated);
        liveReplicas = Set.copyOf(liveReplicas);
    }

    /**
     * Computes the eligibility of a group's members.
     *
     * @param configuration contains the evacuations
     * @param regions the group's regions, see {@link GroupRegions}
     * @param members the announced members
     * @return the eligibility
     */
    public static PrimaryEligibility of(
            Configuration configuration, AllowedRegions regions, Collection<MemberPlace> members) {
        Set<EndpointId> inside = new HashSet<>();
        Set<EndpointId> outside = new HashSet<>();
        Set<EndpointId> evacuated = new HashSet<>();
        Set<EndpointId> liveReplicas = new HashSet<>();
        for (MemberPlace member : members) {
            (regions.permits(member.region()) ? inside : outside).add(member.endpoint());
            if (configuration.isEvacuated(member.dataCenter())) {
                evacuated.add(member.endpoint());
            }
            if (member.liveReplica()) {
                liveReplicas.add(member.endpoint());
            }
        }
        return new PrimaryEligibility(regions, inside, outside, evacuated, liveReplicas);
    }

    /**
     * Tells whether a member may be promoted.
     *
     * @param member the member
     * @return true when its region is known to be permitted, or regions are not restricted
     */
    public boolean isPermitted(EndpointId member) {
        return !regions.isRestricted() || inside.contains(member);
    }

    /**
     * Tells whether a member is known to be outside the group's regions.
     *
     * @param member the member
     * @return false also when its region is unknown
     */
    public boolean isOutside(EndpointId member) {
        return outside.contains(member);
    }

    /**
     * Tells whether a member's data centre is evacuated.
     *
     * @param member the member, or null
     * @return false also when its data centre is unknown
     */
    public boolean isEvacuated(EndpointId member) {
        return member != null && evacuated.contains(member);
    }

    /**
     * Tells whether another member could take over from a primary in an evacuated data centre.
     *
     * @param primary the primary
     * @return true when a live replica is in a permitted region and not evacuated
     */
    public boolean hasReplacementFor(EndpointId primary) {
        return liveReplicas.stream()
                .anyMatch(
                        member ->
                                !member.equals(primary)
                                        && isPermitted(member)
                                        && !isEvacuated(member));
    }

    /**
     * Describes the group's regions for operators.
     *
     * @return the regions' names
     */
    public String describeRegions() {
        return regions.isRestricted() ? "regions " + regions.toList() : "all regions";
    }
}
