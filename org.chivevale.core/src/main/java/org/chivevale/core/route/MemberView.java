package org.chivevale.core.route;

/**
 * A proxy's view of a member that could serve a read.
 *
 * <p>Immutable.
 *
 * @param primary true for the group's primary
 * @param distance 0 in the same data centre, 1 in the same region, 2 elsewhere
 * @param pendingRequests this proxy's requests that are in flight or queued there
 * @param connections how many connections this proxy may open to it
 * @param responseMillis usual response time, without the network latency
 * @param fresh true when it is known to hold the required position
 * @param avoided true when it recently rejected a request, lagged or did not respond
 */
public record MemberView(
        boolean primary,
        int distance,
        int pendingRequests,
        int connections,
        double responseMillis,
        boolean fresh,
        boolean avoided) {}
