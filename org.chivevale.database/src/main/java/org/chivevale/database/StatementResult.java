package org.chivevale.database;

import java.util.List;

/**
 * What one statement gave.
 *
 * <p>Immutable; the bytes are not to be changed.
 *
 * @param columns names of the columns; empty when there are no rows
 * @param rows the rows as JSON arrays with commas between them
 * @param rowCount how many rows there are
 * @param affected how many rows were changed
 */
public record StatementResult(List<String> columns, byte[] rows, int rowCount, int affected) {
    public StatementResult {
        columns = List.copyOf(columns);
    }
}
