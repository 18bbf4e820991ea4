package org.chivevale.core.failover;

import org.chivevale.core.group.EndpointId;

/**
 * A member's response to the position query after the fence came into force.
 *
 * <p>Immutable.
 *
 * @param endpoint the member
 * @param primary true when it runs as a primary
 * @param timeline the timeline it is on
 * @param position the highest position it holds
 */
public record MemberPosition(EndpointId endpoint, boolean primary, long timeline, long position) {}
