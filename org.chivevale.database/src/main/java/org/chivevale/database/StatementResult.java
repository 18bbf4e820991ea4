package org.chivevale.database;

import java.util.List;

/**
 * Result of one statement.
 *
 * <p>Immutable; the byte array must not be modified.
 *
 * @param columns column names; empty for a statement that returns no rows
 * @param rows the rows as comma-separated JSON arrays
 * @param rowCount the number of rows
 * @param affected the number of changed rows
 */
public record StatementResult(List<String> columns, byte[] rows, int rowCount, int affected) {
    public StatementResult {
        columns = List.copyOf(columns);
    }
}
