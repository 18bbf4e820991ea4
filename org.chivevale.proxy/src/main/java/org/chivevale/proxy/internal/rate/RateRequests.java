package org.chivevale.proxy.internal.rate;

import java.util.function.Consumer;
import org.chivevale.wire.proto.RateAnswer;
import org.chivevale.wire.proto.RateRequest;

/**
 * The way to the owner of the rates.
 *
 * <p>Used on the event loop.
 */
public interface RateRequests {
    /**
     * Returns whether a request for rate tokens can be sent.
     *
     * @return true with a connection to control and no request in flight
     */
    boolean canRequestRates();

    /**
     * Requests rate tokens from their owner; one request is in flight at a time.
     *
     * @param request the tokens wanted and returned
     * @param onAnswer receives the response; one without grants after a timeout
     */
    void requestRates(RateRequest.Builder request, Consumer<RateAnswer> onAnswer);
}
