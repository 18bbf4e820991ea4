package org.chivevale.core.admission;

import org.chivevale.core.account.ClientAccountId;

/**
 * What the order of a queue depends on for one request.
 *
 * <p>Immutable.
 *
 * @param priority the urgency class; 0 is the most urgent
 * @param account the client account that the request runs for
 * @param deadlineNanos the monotonic time after which it must not be served
 */
public record AdmissionRequest(int priority, ClientAccountId account, long deadlineNanos) {
    /**
     * Returns for how long the request may still wait.
     *
     * @param nowNanos the monotonic time
     * @return nanoseconds; 0 or less once the deadline has passed
     */
    public long remainingNanos(long nowNanos) {
        return deadlineNanos - nowNanos;
    }
}
