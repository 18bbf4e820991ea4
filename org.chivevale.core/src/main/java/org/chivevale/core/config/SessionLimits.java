package org.chivevale.core.config;

/**
 * How long sessions may rest.
 *
 * <p>Immutable.
 *
 * @param transactionIdleMillis rest inside a transaction after which it may be rolled back
 * @param sessionIdleMillis rest after which a connection to an endpoint may be closed
 */
public record SessionLimits(int transactionIdleMillis, int sessionIdleMillis) {
    /** What holds until a configuration says otherwise. */
    public static final SessionLimits DEFAULT = new SessionLimits(3000, 15_000);
}
