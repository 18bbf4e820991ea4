package org.chivevale.core.config;

import java.util.ArrayList;
import java.util.List;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.EvacuationPut;
import org.chivevale.wire.proto.EvacuationRemoved;

/**
 * Computes the changes that evacuate a data centre, and those that withdraw an evacuation.
 *
 * <p>Invariants: an order that is already in force changes nothing, so orders can be repeated;
 * withdrawing marks every registered endpoint of the data centre as cold in the same entry, so that
 * none gets work before it has announced itself again. Stateless and thread safe.
 */
public final class EvacuationChanges {
    private EvacuationChanges() {}

    /**
     * Computes the changes that evacuate a data centre.
     *
     * @param now the configuration to change
     * @param dataCenter the data centre
     * @param operatorId who gives the order
     * @param unixMillis wall-clock time of the order
     * @return the changes; empty when the data centre is evacuated
     */
    public static List<Change> evacuate(
            Configuration now, String dataCenter, String operatorId, long unixMillis) {
        if (now.isEvacuated(dataCenter)) {
            return List.of();
        }
        return List.of(
                Change.newBuilder()
                        .setEvacuationPut(
                                EvacuationPut.newBuilder()
                                        .setDataCenter(dataCenter)
                                        .setOperatorId(operatorId)
                                        .setRequestedUnixMillis(unixMillis))
                        .build());
    }

    /**
     * Computes the changes that withdraw an evacuation.
     *
     * @param now the configuration to change
     * @param dataCenter the data centre
     * @return the changes; empty when the data centre is not evacuated
     */
    public static List<Change> restore(Configuration now, String dataCenter) {
        if (!now.isEvacuated(dataCenter)) {
            return List.of();
        }
        List<Change> changes = new ArrayList<>();
        changes.add(
                Change.newBuilder()
                        .setEvacuationRemoved(
                                EvacuationRemoved.newBuilder().setDataCenter(dataCenter))
                        .build());
        for (EndpointPut put : now.endpoints()) {
            if (put.getDataCenter().equals(dataCenter) && !put.getCold()) {
                changes.add(
                        Change.newBuilder().setEndpointPut(put.toBuilder().setCold(true)).build());
            }
        }
        return changes;
    }
}
