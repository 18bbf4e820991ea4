package org.chivevale.database.session;

import org.chivevale.core.account.ClientAccountId;
import org.chivevale.database.MemberTarget;

/**
 * Opens connections for callers' sessions.
 *
 * <p>Used on one event loop.
 */
public interface SessionConnector {
    /**
     * Starts to open a connection; statements may be sent at once.
     *
     * @param target the endpoint; the connection fails when another one listens at its address
     * @param account the client account on whose behalf statements run
     * @param ended runs once when the connection is closed
     * @return the connection
     */
    SessionConnection open(MemberTarget target, ClientAccountId account, Runnable ended);
}
