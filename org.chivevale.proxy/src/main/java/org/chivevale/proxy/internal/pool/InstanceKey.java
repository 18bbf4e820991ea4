package org.chivevale.proxy.internal.pool;

import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;

/**
 * Identifies one database group on one endpoint.
 *
 * <p>Immutable.
 *
 * @param endpoint the endpoint
 * @param group the group
 */
public record InstanceKey(EndpointId endpoint, GroupId group) {
    @Override
    public String toString() {
        return group + "@" + endpoint;
    }
}
