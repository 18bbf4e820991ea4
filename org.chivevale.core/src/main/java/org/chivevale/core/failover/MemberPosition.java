package org.chivevale.core.failover;

import org.chivevale.core.group.EndpointId;

/**
 * What a member answered after the fence was in force and it was cut off.
 *
 * <p>Immutable.
 *
 * @param endpoint the member
 * @param primary true when it runs as a primary
 * @param timeline its timeline
 * @param position the highest position it holds
 */
public record MemberPosition(EndpointId endpoint, boolean primary, long timeline, long position) {}
