package org.chivevale.database;

import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;

/**
 * One member of a database group and where it listens.
 *
 * <p>Immutable.
 *
 * @param endpoint who is expected there
 * @param group the database group
 * @param address where it listens
 */
public record MemberTarget(EndpointId endpoint, GroupId group, HostPort address) {}
