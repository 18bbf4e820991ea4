package org.chivevale.control.internal.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivevale.core.config.Configuration;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.LogEntry;

/**
 * The endpoints outside the log that are cold since their data centre's evacuation was withdrawn
 * and that have not announced themselves since.
 *
 * <p>Endpoints that announce themselves through the administration API are not in the log; this
 * leader remembers them, and a later leader learns of them only by a new announcement. Used on the
 * event loop.
 */
final class ColdEndpoints {
    private final Configuration configuration;
    private final Set<String> unregistered = new HashSet<>();

    ColdEndpoints(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Updates the endpoints after entries were applied.
     *
     * @param entries the entries
     * @param instances the live endpoints
     * @return true when an endpoint has become cold
     */
    boolean update(List<LogEntry> entries, Collection<InstanceAnnouncement> instances) {
        boolean changed = false;
        for (LogEntry entry : entries) {
            for (Change change : entry.getChangesList()) {
                if (change.hasEvacuationRemoved()) {
                    changed |=
                            addUnregistered(
                                    change.getEvacuationRemoved().getDataCenter(), instances);
                }
            }
        }
        return changed;
    }

    private boolean addUnregistered(String dataCenter, Collection<InstanceAnnouncement> instances) {
        boolean added = false;
        for (InstanceAnnouncement instance : instances) {
            boolean isRegistered =
                    configuration.endpoint(instance.group(), instance.endpoint()) != null;
            if (!isRegistered && instance.dataCenter().equals(dataCenter)) {
                added |= unregistered.add(key(instance));
            }
        }
        return added;
    }

    /** Records an announcement; returns true when the endpoint was cold only until then. */
    boolean onAnnounced(InstanceAnnouncement instance) {
        return unregistered.remove(key(instance));
    }

    boolean isCold(InstanceAnnouncement instance) {
        return unregistered.contains(key(instance));
    }

    private static String key(InstanceAnnouncement instance) {
        return instance.group() + "/" + instance.endpoint();
    }
}
