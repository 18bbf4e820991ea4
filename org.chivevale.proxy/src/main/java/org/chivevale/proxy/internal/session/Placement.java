package org.chivevale.proxy.internal.session;

import org.chivevale.core.config.Group;
import org.chivevale.core.group.TermPosition;

/**
 * The endpoint selected for a statement and the log position that it must have reached.
 *
 * <p>Immutable.
 *
 * @param pool connections to the endpoint
 * @param group the database group as it was at the selection
 * @param isPrimary true when the endpoint was selected as the group's primary
 * @param requiredPosition the position that the replica must have reached; null at the primary
 */
record Placement(
        EndpointPool pool, Group group, boolean isPrimary, TermPosition requiredPosition) {}
