package org.chivevale.control.internal.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chivevale.core.config.Configuration;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.EndpointPut;
import org.chivevale.wire.proto.LogEntry;

/**
 * The endpoints that are cold: by the log, or since their data centre's evacuation was withdrawn
 * and they have not announced themselves since.
 *
 * <p>Endpoints that announce themselves through the administration API are not in the log; this
 * leader remembers them, and a later leader learns of them only by a new announcement. Used on the
 * event loop.
 */
final class ColdEndpoints {
    private final Configuration configuration;
    private final Set<String> unregistered = new HashSet<>();
    private Set<String> registered;

    ColdEndpoints(Configuration configuration) {
        this.configuration = configuration;
        this.registered = findRegistered();
    }

    private Set<String> findRegistered() {
        Set<String> cold = new HashSet<>();
        for (EndpointPut put : configuration.endpoints()) {
            if (put.getCold()) {
                cold.add(put.getGroupId() + "/" + put.getEndpointId());
            }
        }
        return cold;
    }

    /**
     * Updates the endpoints after entries were applied.
     *
     * @param entries the entries
     * @param instances the live endpoints
     * @return true when an endpoint has become cold or warm
     */
    boolean update(List<LogEntry> entries, Collection<InstanceAnnouncement> instances) {
        Set<String> before = registered;
        registered = findRegistered();
        boolean changed = !registered.equals(before);
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
        return registered.contains(key(instance)) || unregistered.contains(key(instance));
    }

    private static String key(InstanceAnnouncement instance) {
        return instance.group() + "/" + instance.endpoint();
    }
}
