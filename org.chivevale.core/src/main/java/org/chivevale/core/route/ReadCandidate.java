package org.chivevale.core.route;

import org.chivevale.core.group.EndpointId;

/**
 * A proxy's view of an endpoint that could serve a read.
 *
 * <p>Immutable.
 *
 * @param endpoint the endpoint
 * @param primary true for the group's primary
 * @param position the highest log position that it is known to hold
 * @param responseNanos its smoothed response time
 * @param lagNanos its smoothed replica lag
 * @param pendingRequests this proxy's requests that are in flight or queued there
 * @param connections connections this proxy may use to it
 */
public record ReadCandidate(
        EndpointId endpoint,
        boolean primary,
        long position,
        long responseNanos,
        long lagNanos,
        int pendingRequests,
        int connections) {}
