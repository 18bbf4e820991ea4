package org.chivevale.core.route;

import org.chivevale.core.group.EndpointId;

/**
 * An endpoint that could serve a read, as the proxy sees it now.
 *
 * <p>Immutable.
 *
 * @param endpoint the endpoint
 * @param primary true for the group's primary
 * @param position the highest log position known of it
 * @param responseNanos the smoothed time of its answers
 * @param lagNanos the smoothed time by which it trails the primary
 * @param inFlight requests it is serving or that wait for it in this proxy
 * @param connections connections this proxy may use to it
 */
public record ReadCandidate(
        EndpointId endpoint,
        boolean primary,
        long position,
        long responseNanos,
        long lagNanos,
        int inFlight,
        int connections) {}
