package org.chivevale.control.internal.intent;

import java.util.List;
import java.util.Set;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Route;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.RoutePut;

/**
 * Computes the change of an intent that sets the regions of a route.
 *
 * <p>A later whole configuration replaces them. Not thread safe.
 */
final class RouteRegionsPlanner {
    private final Configuration configuration;

    RouteRegionsPlanner(Configuration configuration) {
        this.configuration = configuration;
    }

    PlannedChanges plan(Intent intent) {
        intent.rejectUnknownFields(Set.of("route", "allowed_regions"));
        Route before = configuration.route(intent.text("route"));
        if (before == null) {
            throw Intent.invalid("route '" + intent.text("route") + "' does not exist");
        }
        AllowedRegions allowed = AllowedRegions.of(intent.regionNames());
        Route changed =
                new Route(
                        before.name(),
                        before.host(),
                        before.prefix(),
                        before.database(),
                        before.readPolicy(),
                        before.statementTimeoutMillis(),
                        before.latencyObjectiveMillis(),
                        before.priority(),
                        before.maxStalenessMillis(),
                        before.anonymous(),
                        allowed);
        configuration
                .accounts()
                .forEach(account -> AccountPlanner.requireCommonRegion(account, changed));
        List<String> regions = allowed.toList();
        return PlannedChanges.of(
                Change.newBuilder().setRoutePut(toMessage(changed)),
                "run requests of route "
                        + changed.name()
                        + (regions.isEmpty() ? " in every region" : " in " + regions + " only"),
                IntentPlanner.touchedObject(intent));
    }

    private static RoutePut toMessage(Route route) {
        return RoutePut.newBuilder()
                .setName(route.name())
                .setHost(route.host())
                .setPrefix(route.prefix())
                .setDatabase(route.database())
                .setReadPolicy(route.readPolicy().name())
                .setStatementTimeoutMillis(route.statementTimeoutMillis())
                .setLatencyObjectiveMillis(route.latencyObjectiveMillis())
                .setPriority(route.priority())
                .setMaxStalenessMillis(route.maxStalenessMillis())
                .setAnonymous(route.anonymous())
                .addAllAllowedRegions(route.allowedRegions().toList())
                .build();
    }
}
