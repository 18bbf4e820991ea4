package org.chivevale.core.config;

/**
 * A route from the database name that a session gives to a database.
 *
 * <p>Immutable.
 *
 * @param name unique name of the route
 * @param host the database name that callers give
 * @param prefix distinguishes routes of one host
 * @param database the database that runs its statements
 * @param readPolicy which commits its reads must see
 * @param statementTimeoutMillis timeout of a single statement
 * @param latencyObjectiveMillis latency objective of a whole operation
 * @param priority 0 is the highest
 * @param maxStalenessMillis staleness bound of reads that need not see every commit
 * @param anonymous true when no key is needed
 * @param allowedRegions the regions whose endpoints may run its requests
 */
public record Route(
        String name,
        String host,
        String prefix,
        String database,
        ReadPolicy readPolicy,
        int statementTimeoutMillis,
        int latencyObjectiveMillis,
        int priority,
        int maxStalenessMillis,
        boolean anonymous,
        AllowedRegions allowedRegions) {}
