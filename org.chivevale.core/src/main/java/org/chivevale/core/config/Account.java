package org.chivevale.core.config;

import java.util.Set;
import org.chivevale.core.account.ClientAccountId;

/**
 * A client account as operators have set it.
 *
 * <p>Immutable.
 *
 * @param id the account
 * @param ratePerSecond requests per second over all proxies
 * @param burst requests that may arrive at once over all proxies
 * @param databases names of the databases it may use
 * @param latencyObjectiveMillis longest response time that meets the account's latency objective
 * @param allowedRegions the regions whose endpoints may run its requests
 */
public record Account(
        ClientAccountId id,
        double ratePerSecond,
        int burst,
        Set<String> databases,
        int latencyObjectiveMillis,
        AllowedRegions allowedRegions) {
    public Account {
        databases = Set.copyOf(databases);
    }
}
