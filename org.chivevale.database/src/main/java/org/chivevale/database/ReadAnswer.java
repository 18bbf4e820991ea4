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
public record ReadAnswer(List<StatementResult> results, long position) {
    public ReadAnswer {
        results = List.copyOf(results);
    }
}
