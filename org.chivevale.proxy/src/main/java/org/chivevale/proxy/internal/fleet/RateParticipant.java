package org.chivevale.proxy.internal.fleet;

import org.chivevale.wire.proto.RateAnswer;
import org.chivevale.wire.proto.RateRequest;

/**
 * A service that adds to requests for rate tokens.
 *
 * <p>Called on the event loop.
 */
public interface RateParticipant {
    /**
     * Adds what the service wants to a request that is about to be sent.
     *
     * @param request the request
     * @param nowNanos the monotonic time, from which the validity of grants counts
     */
    void addTo(RateRequest.Builder request, long nowNanos);

    /**
     * Handles the response to a request.
     *
     * @param answer the response; empty after a timeout
     * @param sentAtNanos when the request was sent, on the monotonic clock
     */
    void onRateAnswer(RateAnswer answer, long sentAtNanos);
}
