package org.chivevale.core.rate;

import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;

/**
 * An endpoint's instance of a group, whose requests are limited while it is cold.
 *
 * <p>Immutable.
 *
 * @param group the database group
 * @param endpoint the endpoint
 */
public record WarmupTarget(GroupId group, EndpointId endpoint) {}
