package org.chivevale.database;

import java.util.List;

/**
 * Results of a read.
 *
 * <p>Immutable.
 *
 * @param results one result per statement, in order; empty when the position was not reached
 * @param position a log position that covers everything that was read
 */
public record ReadResult(List<StatementResult> results, long position) {
    public ReadResult {
        results = List.copyOf(results);
    }
}
