package org.chivevale.core.config;

import org.chivevale.wire.proto.SessionLimitsPut;

/**
 * Idle limits of sessions.
 *
 * <p>Immutable.
 *
 * @param transactionIdleMillis idle time after which a transaction may be rolled back
 * @param sessionIdleMillis idle time after which a session's endpoint connection may be closed
 */
public record SessionLimits(int transactionIdleMillis, int sessionIdleMillis) {
    /** In force until a configuration sets other limits. */
    public static final SessionLimits DEFAULT = new SessionLimits(3000, 15_000);

    static SessionLimits of(SessionLimitsPut put) {
        return new SessionLimits(put.getTransactionIdleMillis(), put.getSessionIdleMillis());
    }
}
