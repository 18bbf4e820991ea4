package org.chivevale.proxy.internal.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.AllowedRegions;
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
import org.chivevale.proxy.internal.fleet.RegionRules;
import org.chivevale.proxy.internal.rate.WarmupGate;
import org.chivevale.wire.proto.EndpointMember;

/**
 * Selects the endpoint that runs a statement.
 *
 * <p>Invariants: writes and reads that must see every commit go to the primary only; a replica is
 * selected only with a required position that bounds the read's staleness; an endpoint is selected
 * only in a region that the route and the client account permit; a cold endpoint is selected only
 * while a warm-up token is held. Used on the event loop.
 */
final class PlacementSelector {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long STALENESS_MARGIN_NANOS = 50 * NANOS_PER_MILLI;
    private static final long SILENCE_NANOS = 300 * NANOS_PER_MILLI;
    private static final int ONLY_SLOT = 0;

    private final ProxySettings settings;
    private final Directory directory;
    private final SessionPools pools;
    private final RegionRules regions;
    private final WarmupGate warmup;
    private final PositionProbe probe;

    private record Candidate(Placement placement, MemberView view) {}

    PlacementSelector(
            ProxySettings settings, Directory directory, SessionPools pools, WarmupGate warmup) {
        this.settings = settings;
        this.directory = directory;
        this.pools = pools;
        this.regions = new RegionRules(settings, directory);
        this.warmup = warmup;
        this.probe = new PositionProbe(directory, pools, warmup);
    }

    static GroupId groupOf(Route route) {
        return new GroupId(route.database(), ONLY_SLOT);
    }

    /** Returns the regions in which a request of the account on the route may run. */
    AllowedRegions allowedRegions(Route route, ClientAccountId account) {
        return regions.allowed(route, account);
    }

    /** Returns why a request can run nowhere because of its regions, or null when it can. */
    String findRegionExclusion(Route route, ClientAccountId account, boolean primaryOnly) {
        return regions.findExclusion(
                allowedRegions(route, account),
                directory.configuration().group(groupOf(route)),
                primaryOnly || route.readPolicy() == ReadPolicy.PRIMARY);
    }

    private boolean isPermitted(Placement placement, AllowedRegions allowed) {
        return regions.permits(allowed, placement.group().id(), endpoint(placement));
    }

    /**
     * Returns the primary's placement, or null while the group has none, it is being fenced, its
     * region is not permitted, or it is cold and the statement has to wait for a token. While it
     * fails, it is selected without one, so that attempts to connect show whether it is gone; the
     * token is needed once a connection is open.
     */
    Placement selectPrimary(Route route, ClientAccountId account, Object statement) {
        Placement primary = findPrimary(route);
        boolean usable =
                primary != null
                        && isPermitted(primary, allowedRegions(route, account))
                        && (primary.pool().isRelayed()
                                || primary.pool().health().isFailing()
                                || warmup.isUsable(
                                        primary.group().id(), endpoint(primary), statement));
        return usable ? primary : null;
    }

    private static EndpointId endpoint(Placement placement) {
        return placement.pool().target().endpoint();
    }

    /** Returns the primary's placement, or null while there is none that may get new work. */
    private Placement findPrimary(Route route) {
        Group group = directory.configuration().group(groupOf(route));
        boolean hasPrimary = group.primary() != null && !directory.isFencing(group.id());
        return !hasPrimary || !directory.availability().isOpen(group.id(), group.primary())
                ? null
                : new Placement(pools.primaryPool(group), group, true, null);
    }

    /** Returns why a request is rejected at once when it has no placement; null when it waits. */
    String rejection(Route route) {
        return directory.rejection(groupOf(route));
    }

    /** Returns why the primary gets no new work; empty when it does or there is none. */
    String primaryReason(Route route) {
        Group group = directory.configuration().group(groupOf(route));
        return group.primary() == null
                ? ""
                : directory.availability().reason(group.id(), group.primary());
    }

    /**
     * Returns the best placement for a read, or null while there is none.
     *
     * @param account the client account, which may restrict the regions
     * @param lastCommit the position of the session's last commit in the route's group
     * @param excluded endpoints to leave out, where the read has failed
     * @param statement identifies the read in requests for tokens
     */
    Placement selectForRead(
            Route route,
            ClientAccountId account,
            TermPosition lastCommit,
            Set<EndpointId> excluded,
            Object statement) {
        if (route.readPolicy() == ReadPolicy.PRIMARY) {
            return selectPrimary(route, account, statement);
        }
        AllowedRegions allowed = allowedRegions(route, account);
        List<Candidate> candidates = candidates(route, lastCommit);
        candidates.removeIf(candidate -> !isPermitted(candidate.placement(), allowed));
        learnPosition(route, account, allowed);
        candidates.removeIf(candidate -> excluded.contains(endpoint(candidate.placement())));
        Placement best = choose(candidates);
        if (best == null || isUsable(best, statement)) {
            return best;
        }
        candidates.removeIf(candidate -> !isUsable(candidate.placement()));
        Placement warm = choose(candidates);
        return warm == null && best.pool().isRelayed() ? best : warm;
    }

    /** Asks an excluded primary for its position before the last known one is too old. */
    private void learnPosition(Route route, ClientAccountId account, AllowedRegions allowed) {
        Placement primary = allowed.isRestricted() ? findPrimary(route) : null;
        if (primary == null || isPermitted(primary, allowed)) {
            return;
        }
        GroupId group = primary.group().id();
        boolean evacuated =
                directory
                        .configuration()
                        .isEvacuated(findPrimaryMember(primary.group()).getDataCenter());
        boolean isMemberPermitted = regions.findExclusion(allowed, primary.group(), false) == null;
        long halfStalenessNanos = stalenessNanos(route) / 2;
        boolean known =
                pools.samples(group).requiredPosition(EventLoop.nowNanos(), halfStalenessNanos)
                        != null;
        if (halfStalenessNanos > 0 && isMemberPermitted && !evacuated && !known) {
            probe.request(primary, account);
        }
    }

    private static long stalenessNanos(Route route) {
        return route.maxStalenessMillis() * NANOS_PER_MILLI - STALENESS_MARGIN_NANOS;
    }

    /** Of a relayed endpoint, the connection host spends the tokens, so none is reserved here. */
    private boolean isUsable(Placement placement, Object statement) {
        return placement.pool().isRelayed()
                ? isUsable(placement)
                : warmup.isUsable(placement.group().id(), endpoint(placement), statement);
    }

    private boolean isUsable(Placement placement) {
        return warmup.isUsable(placement.group().id(), endpoint(placement));
    }

    private static Placement choose(List<Candidate> candidates) {
        List<MemberView> views = new ArrayList<>();
        candidates.forEach(candidate -> views.add(candidate.view()));
        int best = MemberChoice.choose(views);
        return best == MemberChoice.NONE ? null : candidates.get(best).placement();
    }

    private List<Candidate> candidates(Route route, TermPosition lastCommit) {
        long now = EventLoop.nowNanos();
        List<Candidate> candidates = new ArrayList<>();
        Group group = directory.configuration().group(groupOf(route));
        Placement primary = findPrimary(route);
        if (primary != null) {
            EndpointMember member = findPrimaryMember(group);
            candidates.add(new Candidate(primary, view(primary, member, now)));
        }
        TermPosition required =
                pools.samples(group.id()).requiredPosition(now, stalenessNanos(route));
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
                pool.pendingRequests(),
                pool.usableConnections(),
                pool.health().responseMillis(),
                fresh,
                pool.usableConnections() == 0 || pool.health().isAvoided(nowNanos, SILENCE_NANOS));
    }

    /** Gives up questions to primaries that got no reply. */
    void tick(long nowNanos) {
        probe.tick(nowNanos);
    }

    private int distance(EndpointMember member) {
        if (member.getDataCenter().equals(settings.dataCenter())) {
            return 0;
        }
        return member.getRegion().equals(settings.region()) ? 1 : 2;
    }
}
