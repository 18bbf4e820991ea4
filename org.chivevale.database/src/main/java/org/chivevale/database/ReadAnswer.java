package org.chivevale.database;

import java.util.List;

/**
 * What a read gave.
 *
 * <p>Immutable.
 *
 * @param results one result a statement
 * @param position the log position that covers all that was read
 */
public record ReadAnswer(List<StatementResult> results, long position) {
    public ReadAnswer {
        results = List.copyOf(results);
    }
}
