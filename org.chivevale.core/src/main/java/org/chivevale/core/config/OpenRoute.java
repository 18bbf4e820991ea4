package org.chivevale.core.config;

import org.chivevale.core.account.ClientAccountId;

/**
 * A read that callers may run without a key.
 *
 * <p>Immutable.
 *
 * @param name its name in the path
 * @param database the database it reads
 * @param account the client account with whose rights it runs
 * @param sql the statement
 * @param acceptedAgeMillis how old the data may be
 */
public record OpenRoute(
        String name, String database, ClientAccountId account, String sql, int acceptedAgeMillis) {}
