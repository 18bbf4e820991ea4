package org.chivevale.database;

import java.util.List;
import org.chivevale.core.account.ClientAccountId;

/**
 * Transaction to run atomically at a primary.
 *
 * <p>Immutable.
 *
 * @param account the client account whose privileges apply
 * @param term the expected term of the primary
 * @param record the record that deduplicates the request, or null when it may run repeatedly
 * @param statements the statements
 * @param limits limits on the size of the results
 */
public record WriteRequest(
        ClientAccountId account,
        long term,
        RequestRecord record,
        List<Statement> statements,
        ResultLimits limits) {
    public WriteRequest {
        statements = List.copyOf(statements);
    }
}
