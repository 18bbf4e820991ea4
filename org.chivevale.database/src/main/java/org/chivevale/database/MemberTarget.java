package org.chivevale.database;

import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;

/**
 * Identity and address of one member of a database group.
 *
 * <p>Immutable.
 *
 * @param endpoint the endpoint that is expected at the address
 * @param group the database group
 * @param address the address it listens on
 */
public record MemberTarget(EndpointId endpoint, GroupId group, HostPort address) {}
