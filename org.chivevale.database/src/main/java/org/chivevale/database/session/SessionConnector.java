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
     * Begins to open a connection; statements may be given at once.
     *
     * @param target the endpoint; another one at its address is found out
     * @param account on whose behalf
     * @param ended runs once when the connection has ended
     * @return the connection
     */
    SessionConnection open(MemberTarget target, ClientAccountId account, Runnable ended);
}
