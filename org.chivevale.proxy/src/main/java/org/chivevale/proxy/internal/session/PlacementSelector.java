package org.chivevale.proxy.internal.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.chivevale.core.config.Group;
import org.chivevale.core.config.ReadPolicy;
import org.chivevale.core.config.Route;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.route.MemberChoice;
import org.chivevale.core.route.MemberView;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.wire.proto.EndpointMember;

/**
 * Selects the endpoint that runs a statement.
 *
 * <p>Invariants: writes and reads that must see every commit go to the primary only; a replica is
 * selected only with a required position that bounds the read's staleness. Used on the event loop.
 */
final class PlacementSelector {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long STALENESS_MARGIN_NANOS = 50 * NANOS_PER_MILLI;
    private static final long SILENCE_NANOS = 300 * NANOS_PER_MILLI;
    private static final int ONLY_SLOT = 0;

    private final ProxySettings settings;
    private final Directory directory;
    private final SessionPools pools;

    private record Candidate(Placement placement, MemberView view) {}

    PlacementSelector(ProxySettings settings, Directory directory, SessionPools pools) {
        this.settings = settings;
        this.directory = directory;
        this.pools = pools;
    }

    static GroupId groupOf(Route route) {
        return new GroupId(route.database(), ONLY_SLOT);
    }

    /** Returns the primary's placement, or null while the group has none or it is being fenced. */
    Placement selectPrimary(Route route) {
        Group group = directory.configuration().group(groupOf(route));
        return group.primary() == null || directory.isFencing(group.id())
                ? null
                : new Placement(pools.primaryPool(group), group, true, null);
    }

    /**
     * Returns the best placement for a read, or null while there is none.
     *
     * @param lastCommit the position of the session's last commit
     * @param excluded endpoints to leave out, where the read has failed
     */
    Placement selectForRead(Route route, TermPosition lastCommit, Set<EndpointId> excluded) {
        if (route.readPolicy() == ReadPolicy.PRIMARY) {
            return selectPrimary(route);
        }
        List<Candidate> candidates = candidates(route, lastCommit);
        candidates.removeIf(
                candidate -> excluded.contains(candidate.placement().pool().target().endpoint()));
        List<MemberView> views = new ArrayList<>();
        candidates.forEach(candidate -> views.add(candidate.view()));
        int best = MemberChoice.choose(views);
        return best == MemberChoice.NONE ? null : candidates.get(best).placement();
    }

    private List<Candidate> candidates(Route route, TermPosition lastCommit) {
        long now = EventLoop.nowNanos();
        List<Candidate> candidates = new ArrayList<>();
        Group group = directory.configuration().group(groupOf(route));
        Placement primary = selectPrimary(route);
        if (primary != null) {
            EndpointMember member = findPrimaryMember(group);
            candidates.add(new Candidate(primary, view(primary, member, now)));
        }
        long stalenessNanos = route.maxStalenessMillis() * NANOS_PER_MILLI - STALENESS_MARGIN_NANOS;
        TermPosition required = pools.samples(group.id()).requiredPosition(now, stalenessNanos);
        if (required == null) {
            return candidates;
        }
        TermPosition requiredPosition =
                route.readPolicy() == ReadPolicy.SESSION ? required.max(lastCommit) : required;
        for (EndpointMember member : directory.servingReplicas(group)) {
            Placement placement =
                    new Placement(pools.memberPool(member), group, false, requiredPosition);
            candidates.add(new Candidate(placement, view(placement, member, now)));
        }
        return candidates;
    }

    private EndpointMember findPrimaryMember(Group group) {
        for (EndpointMember member : directory.members(group.id())) {
            if (member.getEndpointId().equals(group.primary().value())) {
                return member;
            }
        }
        return EndpointMember.getDefaultInstance();
    }

    private MemberView view(Placement placement, EndpointMember member, long nowNanos) {
        EndpointPool pool = placement.pool();
        boolean fresh =
                placement.requiredPosition() == null
                        || pool.position().compareTo(placement.requiredPosition()) >= 0;
        return new MemberView(
                placement.isPrimary(),
                distance(member),
                pool.load(),
                pool.capacity(),
                pool.health().responseMillis(),
                fresh,
                pool.share() == 0 || pool.health().isAvoided(nowNanos, SILENCE_NANOS));
    }

    private int distance(EndpointMember member) {
        if (member.getDataCenter().equals(settings.dataCenter())) {
            return 0;
        }
        return member.getRegion().equals(settings.region()) ? 1 : 2;
    }
}
