package org.chivevale.endpoint.internal.instance;

import java.util.List;

/**
 * Statement with everything that its replay needs.
 *
 * <p>Immutable.
 *
 * @param sql the statement in the embedded engine's dialect
 * @param schema the current schema, or null for the default
 * @param role the current role, or null for the login role
 * @param parameters the parameters
 */
public record LoggedStatement(
        String sql, String schema, String role, List<SqlParameter> parameters) {

    /**
     * Creates a statement without parameters that runs with the login role.
     *
     * @param sql the statement
     * @return the statement
     */
    public static LoggedStatement plain(String sql) {
        return new LoggedStatement(sql, null, null, List.of());
    }
}
