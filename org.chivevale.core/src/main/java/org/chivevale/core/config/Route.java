package org.chivevale.core.config;

/**
 * How sessions that name a host reach a database.
 *
 * <p>Immutable.
 *
 * @param name identity of the route
 * @param host the database name that callers give
 * @param prefix distinguishes routes of one host
 * @param database where its statements run
 * @param readPolicy which commits its reads must see
 * @param statementTimeoutMillis limit of a single statement
 * @param latencyObjectiveMillis wanted time of a whole operation
 * @param priority 0 is the highest
 * @param maxStalenessMillis staleness bound of reads that need not see every commit
 * @param anonymous true when no key is needed
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
        boolean anonymous) {}
