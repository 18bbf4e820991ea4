package org.chivevale.control.internal.log;

import java.util.ArrayList;
import java.util.List;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.LogEntry;

/**
 * Names the objects that changes modify, as {@code kind:name}.
 *
 * <p>Stateless and thread safe.
 */
public final class ChangedObjects {
    private ChangedObjects() {}

    /**
     * Names the objects that an entry modifies.
     *
     * @param entry a committed entry
     * @return one name per change; none for records that are internal to the control processes
     */
    public static List<String> of(LogEntry entry) {
        List<String> names = new ArrayList<>();
        for (Change change : entry.getChangesList()) {
            String name = of(change);
            if (!name.isEmpty()) {
                names.add(name);
            }
        }
        return names;
    }

    private static String of(Change change) {
        return switch (change.getKindCase()) {
            case ACCOUNT_PUT -> "account:" + change.getAccountPut().getAccountId();
            case ACCOUNT_REMOVED -> "account:" + change.getAccountRemoved().getAccountId();
            case KEY_PUT -> "key:" + change.getKeyPut().getKeyId();
            case KEY_WITHDRAWN -> "key:" + change.getKeyWithdrawn().getKeyId();
            case DATABASE_PUT -> "database:" + change.getDatabasePut().getDatabase();
            case DATABASE_CREDENTIAL_PUT ->
                    "database:" + change.getDatabaseCredentialPut().getDatabase();
            case GROUP_STATE -> "group:" + change.getGroupState().getGroupId();
            case OPEN_ROUTE_PUT -> "route:" + change.getOpenRoutePut().getName();
            case OPEN_ROUTE_REMOVED -> "route:" + change.getOpenRouteRemoved().getName();
            case ROUTE_PUT -> "caller-route:" + change.getRoutePut().getName();
            case ROUTE_REMOVED -> "caller-route:" + change.getRouteRemoved().getName();
            case OPERATOR_PUT -> "operator:" + change.getOperatorPut().getOperatorId();
            case EVACUATION_PUT -> "datacenter:" + change.getEvacuationPut().getDataCenter();
            case EVACUATION_REMOVED ->
                    "datacenter:" + change.getEvacuationRemoved().getDataCenter();
            default -> "";
        };
    }
}
