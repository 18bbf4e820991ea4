package org.chivevale.proxy.internal.fleet;

import org.chivevale.wire.proto.RenewAnswer;
import org.chivevale.wire.proto.RenewRequest;

/**
 * A part of the proxy that has something to say in each renewal of the lease.
 *
 * <p>Called on the event loop.
 */
public interface RenewalPart {
    /**
     * Adds what control should know.
     *
     * @param request the renewal that is about to be sent
     */
    void addTo(RenewRequest.Builder request);

    /**
     * Takes what control has answered.
     *
     * @param answer a granted renewal
     */
    default void answered(RenewAnswer answer) {}
}
