package org.chivevale.endpoint.internal.instance;

import java.math.BigDecimal;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.util.HexFormat;
import java.util.List;

/**
 * Binds parameters and runs statements on the embedded engine.
 *
 * <p>The primary and its replicas both bind parameters through this class, so that a replay has the
 * same effect as the original statement. Stateless and thread safe.
 */
public final class StatementRunner {
    private static final int BOOL = 16;
    private static final int BYTEA = 17;
    private static final int INT8 = 20;
    private static final int INT2 = 21;
    private static final int INT4 = 23;
    private static final int FLOAT4 = 700;
    private static final int FLOAT8 = 701;
    private static final int NUMERIC = 1700;

    private StatementRunner() {}

    static void run(Connection connection, LoggedStatement statement) throws SQLException {
        if (statement.parameters().isEmpty()) {
            try (var plain = connection.createStatement()) {
                plain.execute(statement.sql());
            }
            return;
        }
        try (PreparedStatement prepared = connection.prepareStatement(statement.sql())) {
            bind(prepared, statement.parameters());
            prepared.execute();
        }
    }

    /**
     * Binds parameters.
     *
     * @param prepared the statement
     * @param parameters the values, in order
     * @throws SQLException with state 22P02 when a value is not valid for its type
     */
    public static void bind(PreparedStatement prepared, List<SqlParameter> parameters)
            throws SQLException {
        for (int i = 0; i < parameters.size(); i++) {
            prepared.setObject(i + 1, toJdbcValue(parameters.get(i)));
        }
    }

    private static Object toJdbcValue(SqlParameter parameter) throws SQLException {
        String text = parameter.text();
        if (text == null) {
            return null;
        }
        try {
            return switch (parameter.typeOid()) {
                case BOOL -> text.startsWith("t") || text.equals("1") || text.startsWith("T");
                case BYTEA -> HexFormat.of().parseHex(text.substring(2));
                case INT2, INT4, INT8 -> Long.valueOf(text);
                case FLOAT4, FLOAT8 -> Double.valueOf(text);
                case NUMERIC -> new BigDecimal(text);
                default -> text;
            };
        } catch (IllegalArgumentException | StringIndexOutOfBoundsException e) {
            throw new SQLException("invalid input for type " + parameter.typeOid(), "22P02", e);
        }
    }
}
