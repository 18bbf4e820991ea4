package org.chivevale.core.route;

import org.chivevale.core.group.EndpointId;

/**
 * The endpoint chosen for a read.
 *
 * <p>Immutable.
 *
 * @param endpoint the endpoint
 * @param primary true for the primary
 * @param waitNanos how long to wait before sending, so that the replica has caught up
 */
public record ReadChoice(EndpointId endpoint, boolean primary, long waitNanos) {}
