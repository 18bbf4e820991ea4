package org.chivevale.proxy.internal.session;

import org.chivevale.core.interactive.SessionError;
import org.chivevale.database.session.EndpointReply;

/**
 * How a statement ended.
 *
 * <p>Immutable.
 *
 * @param reply the endpoint's reply; null when there is none that counts
 * @param error the error for the caller; null for success
 * @param detail the reason of the error or of the last failed attempt
 * @param connection the connection that is still in use; null when released or closed
 * @param placement where it ran last; null when no endpoint was selected
 * @param attempts how often it was sent
 * @param queuedNanos how long it waited before it was first sent
 * @param host the proxy over whose connections it was sent last; empty for this one
 */
record StatementOutcome(
        EndpointReply reply,
        SessionError error,
        String detail,
        PooledConnection connection,
        Placement placement,
        int attempts,
        long queuedNanos,
        String host) {}
