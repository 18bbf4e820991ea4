package org.chivevale.control.internal.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.wire.proto.EndpointPut;

/**
 * The data centres that an order may name: those in the settings, of endpoints, of proxies, and
 * those that are evacuated.
 *
 * <p>Used on the event loop.
 */
public final class KnownDataCenters {
    private final Set<String> fromSettings = new TreeSet<>();
    private final Supplier<Membership> membership;

    KnownDataCenters(String ownDataCenter, Supplier<Membership> membership) {
        this.fromSettings.add(ownDataCenter);
        this.membership = membership;
    }

    /**
     * Adds data centres that the settings list.
     *
     * @param names the data centres
     */
    public void add(Collection<String> names) {
        fromSettings.addAll(names);
    }

    /**
     * Rejects a data centre that no process knows.
     *
     * @param dataCenter the data centre
     * @param configuration names the registered endpoints and the evacuations in force
     * @throws ChivevaleException with INTENT_INVALID
     */
    public void require(String dataCenter, Configuration configuration) {
        Set<String> known = new TreeSet<>(fromSettings);
        configuration.endpoints().stream().map(EndpointPut::getDataCenter).forEach(known::add);
        membership.get().instancesByGroup().values().stream()
                .flatMap(List::stream)
                .forEach(instance -> known.add(instance.dataCenter()));
        membership.get().proxies().forEach(proxy -> known.add(proxy.dataCenter()));
        if (!known.contains(dataCenter) && !configuration.isEvacuated(dataCenter)) {
            throw new ChivevaleException(
                    ResultCode.INTENT_INVALID,
                    "data centre '" + dataCenter + "' is unknown; known are " + known);
        }
    }
}
