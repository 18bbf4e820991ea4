package org.chivevale.database;

import java.util.List;
import org.chivevale.core.account.ClientAccountId;

/**
 * A transaction that is to run at a primary, all or nothing.
 *
 * <p>Immutable.
 *
 * @param account the client account with whose rights it runs
 * @param term the term that the primary must be in
 * @param record the request to record with it, or null when it may run more than once
 * @param statements the statements
 * @param limits limits on the answer
 */
public record WriteRequest(
        ClientAccountId account,
        long term,
        RequestRecord record,
        List<Statement> statements,
        AnswerLimits limits) {
    public WriteRequest {
        statements = List.copyOf(statements);
    }
}
