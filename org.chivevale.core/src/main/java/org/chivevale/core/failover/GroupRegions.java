package org.chivevale.core.failover;

import java.util.ArrayList;
import java.util.List;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Route;

/**
 * Computes the regions whose members may become primary of a database's groups.
 *
 * <p>These are the regions that all routes to the database permit. If there are none, they are the
 * regions that any restricted route names, so that a primary can serve at least some of the routes.
 * Stateless and thread safe.
 */
public final class GroupRegions {
    private GroupRegions() {}

    /**
     * Computes the regions of a database's groups.
     *
     * @param configuration contains the routes
     * @param database the database's name
     * @return the regions; every region when no route to the database is restricted
     */
    public static AllowedRegions of(Configuration configuration, String database) {
        AllowedRegions common = AllowedRegions.ANY;
        List<String> union = new ArrayList<>();
        for (Route route : configuration.routes()) {
            if (route.database().equals(database)) {
                common = common.intersect(route.allowedRegions());
                union.addAll(route.allowedRegions().toList());
            }
        }
        return common.isEmpty() ? AllowedRegions.of(union) : common;
    }
}
