package org.chivevale.core.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.group.EndpointId;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EvacuationPut;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.RoutePut;

/** Generates views of groups whose members are in three regions with two data centres each. */
final class FailoverViews {
    static final String DATABASE = "orders";
    static final long TERM = 5;
    static final List<EndpointId> MEMBERS =
            List.of(new EndpointId("a"), new EndpointId("b"), new EndpointId("c"));
    private static final int REGIONS = 3;
    private static final int MAX_POSITION = 4;

    private FailoverViews() {}

    static Configuration configuration(List<List<String>> regionsOfRoutes, List<String> evacuated) {
        LogEntry.Builder entry = LogEntry.newBuilder().setVersion(1);
        for (List<String> regions : regionsOfRoutes) {
            entry.addChanges(
                    Change.newBuilder()
                            .setRoutePut(
                                    RoutePut.newBuilder()
                                            .setName("route-" + entry.getChangesCount())
                                            .setDatabase(DATABASE)
                                            .setReadPolicy("PRIMARY")
                                            .addAllAllowedRegions(regions)));
        }
        for (String dataCenter : evacuated) {
            entry.addChanges(
                    Change.newBuilder()
                            .setEvacuationPut(
                                    EvacuationPut.newBuilder().setDataCenter(dataCenter)));
        }
        Configuration configuration = new Configuration();
        configuration.apply(entry.build());
        return configuration;
    }

    static PrimaryEligibility eligibility(Configuration configuration, List<MemberPlace> members) {
        AllowedRegions regions = GroupRegions.of(configuration, DATABASE);
        return PrimaryEligibility.of(configuration, regions, members);
    }

    static List<MemberPlace> places(SplittableRandom random) {
        List<MemberPlace> places = new ArrayList<>();
        for (EndpointId member : MEMBERS) {
            int region = random.nextInt(REGIONS);
            String dataCenter = "dc-" + region + "-" + random.nextInt(2);
            places.add(new MemberPlace(member, "r-" + region, dataCenter, random.nextInt(4) > 0));
        }
        return places;
    }

    /** Generates an eligibility in which some data centres are evacuated and routes restricted. */
    static PrimaryEligibility eligibility(SplittableRandom random) {
        List<List<String>> routes = new ArrayList<>();
        for (int route = random.nextInt(3); route > 0; route--) {
            List<String> regions = new ArrayList<>();
            for (int region = random.nextInt(3); region > 0; region--) {
                regions.add("r-" + random.nextInt(REGIONS));
            }
            routes.add(regions);
        }
        List<String> evacuated = new ArrayList<>();
        for (int region = 0; region < REGIONS; region++) {
            for (int number = 0; number < 2; number++) {
                if (random.nextInt(3) == 0) {
                    evacuated.add("dc-" + region + "-" + number);
                }
            }
        }
        List<MemberPlace> places = new ArrayList<>(places(random));
        if (random.nextInt(4) == 0) {
            places.remove(random.nextInt(places.size()));
        }
        return eligibility(configuration(routes, evacuated), places);
    }

    /** Generates the rest of a view; the first member is or was the primary. */
    static FailoverView view(SplittableRandom random, PrimaryEligibility eligibility) {
        FailoverPhase[] phases = FailoverPhase.values();
        FailoverPhase phase = random.nextInt(4) == 0 ? null : phases[random.nextInt(phases.length)];
        boolean promoting = phase != null && phase.isPromoting();
        Map<EndpointId, MemberPosition> positions = new HashMap<>();
        for (EndpointId member : MEMBERS) {
            if (random.nextInt(4) > 0) {
                boolean primary = member.equals(MEMBERS.get(0)) && random.nextInt(4) > 0;
                long timeline = TERM + (random.nextInt(6) > 0 ? 0 : random.nextInt(3) - 1);
                long position = 1 + random.nextInt(MAX_POSITION);
                positions.put(member, new MemberPosition(member, primary, timeline, position));
            }
        }
        EndpointId candidate = promoting ? MEMBERS.get(random.nextInt(3)) : null;
        return new FailoverView(
                phase,
                TERM,
                phase == null ? MEMBERS.get(0) : null,
                phase == null ? null : MEMBERS.get(0),
                candidate,
                random.nextBoolean(),
                random.nextInt(6) == 0 ? MEMBERS.get(random.nextInt(3)) : null,
                random.nextInt(8) == 0,
                null,
                random.nextInt(8) == 0,
                random.nextInt(8) > 0,
                WriteCoverage.of(2),
                MEMBERS.size(),
                positions,
                random.nextInt(4) * 700L,
                promoting && random.nextInt(3) == 0
                        ? new MemberPosition(candidate, true, TERM + 1, MAX_POSITION)
                        : null,
                random.nextInt(4) * 1500L,
                eligibility,
                random.nextInt(4) == 0);
    }

    /** Returns the view with a primary that control itself takes as lost. */
    static FailoverView lost(FailoverView view) {
        return copy(view, "it does not answer", view.eligibility());
    }

    static FailoverView withEligibility(FailoverView view, PrimaryEligibility eligibility) {
        return copy(view, view.lossReason(), eligibility);
    }

    private static FailoverView copy(
            FailoverView view, String lossReason, PrimaryEligibility eligibility) {
        return new FailoverView(
                view.phase(),
                view.term(),
                view.primary(),
                view.replaced(),
                view.candidate(),
                view.planned(),
                view.preferred(),
                view.suspected(),
                lossReason,
                view.shuttingDown(),
                view.fenceInForce(),
                view.coverage(),
                view.knownMembers(),
                view.positions(),
                view.collectingForMillis(),
                view.promotionResponse(),
                view.promotingForMillis(),
                eligibility,
                view.evacuationPaused());
    }
}
