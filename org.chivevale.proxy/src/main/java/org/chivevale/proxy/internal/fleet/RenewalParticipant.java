package org.chivevale.proxy.internal.fleet;

import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;

/**
 * A service that adds to the lease renewals of the proxy and reads their responses.
 *
 * <p>Called on the event loop.
 */
public interface RenewalParticipant {
    /**
     * Adds the service's fields to a renewal.
     *
     * @param request the renewal that is about to be sent
     */
    void addTo(RenewRequest.Builder request);

    /**
     * Handles the response to a renewal.
     *
     * @param answer the response, which grants the lease
     */
    default void onRenewed(RenewAnswer answer) {}

    /** Handles a renewal without a usable response; control may or may not have received it. */
    default void onRenewalLost() {}
}
