package org.chivevale.proxy.internal.session;

import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.AllowedRegions;

/**
 * A request for a connection.
 *
 * <p>Immutable.
 *
 * @param account the client account that the connection must belong to
 * @param priority the urgency of the route; 0 is the highest
 * @param deadlineNanos the monotonic time until which a statement can still run in time
 * @param allowedRegions the regions in which proxies may receive the statement's text
 */
record PoolRequest(
        ClientAccountId account, int priority, long deadlineNanos, AllowedRegions allowedRegions) {}
