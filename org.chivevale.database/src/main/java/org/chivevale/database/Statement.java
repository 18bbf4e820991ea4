package org.chivevale.database;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * SQL statement of a caller with its parameters.
 *
 * <p>Immutable.
 *
 * @param sql the text, with parameters {@code $1}, {@code $2} and so on
 * @param parameters values of types that the driver accepts; null for SQL NULL
 */
public record Statement(String sql, List<Object> parameters) {
    public Statement {
        parameters = Collections.unmodifiableList(new ArrayList<>(parameters));
    }
}
