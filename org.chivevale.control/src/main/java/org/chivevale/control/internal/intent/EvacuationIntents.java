package org.chivevale.control.internal.intent;

import java.util.List;
import java.util.Set;
import org.chivevale.control.internal.fleet.KnownDataCenters;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.EvacuationChanges;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointPut;

/**
 * Plans the intents that evacuate a data centre and restore it.
 *
 * <p>An intent that is already in force is a plan without changes; its confirmation commits
 * nothing. Used on the event loop.
 */
final class EvacuationIntents {
    static final String EVACUATE = "datacenter-evacuate";
    static final String RESTORE = "datacenter-restore";

    private final KnownDataCenters dataCenters;

    EvacuationIntents(KnownDataCenters dataCenters) {
        this.dataCenters = dataCenters;
    }

    static boolean handles(Intent intent) {
        return intent.kind().equals(EVACUATE) || intent.kind().equals(RESTORE);
    }

    PlannedChanges plan(Configuration now, String operatorId, Intent intent) {
        intent.rejectUnknownFields(Set.of("data_center"));
        String dataCenter = intent.text("data_center");
        dataCenters.require(dataCenter, now);
        boolean evacuates = intent.kind().equals(EVACUATE);
        List<Change> changes =
                evacuates
                        ? EvacuationChanges.evacuate(
                                now, dataCenter, operatorId, System.currentTimeMillis())
                        : EvacuationChanges.restore(now, dataCenter);
        return new PlannedChanges(
                changes,
                List.of(describe(now, dataCenter, evacuates, changes.isEmpty())),
                List.of(IntentPlanner.touchedObject(intent)));
    }

    private static String describe(
            Configuration now, String dataCenter, boolean evacuates, boolean inForce) {
        if (inForce) {
            return "data centre "
                    + dataCenter
                    + (evacuates ? " is evacuated" : " is not evacuated")
                    + " already: nothing changes";
        }
        long endpoints =
                now.endpoints().stream()
                        .map(EndpointPut::getDataCenter)
                        .filter(dataCenter::equals)
                        .count();
        return evacuates
                ? "evacuate data centre "
                        + dataCenter
                        + ": no new work for its endpoints, "
                        + endpoints
                        + " of them registered"
                : "restore data centre "
                        + dataCenter
                        + ": each endpoint gets work once it has announced itself again";
    }
}
