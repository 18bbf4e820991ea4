package org.chivevale.endpoint.internal.postgres;

import java.sql.SQLException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Translates errors of the embedded engine into PostgreSQL's.
 *
 * <p>Codes: "PostgreSQL Error Codes" in the PostgreSQL documentation. Stateless and thread safe.
 */
final class SqlErrors {
    private static final Map<String, String> POSTGRES_STATES =
            Map.ofEntries(
                    Map.entry("42S02", "42P01"),
                    Map.entry("42S03", "42P01"),
                    Map.entry("42S04", "42P01"),
                    Map.entry("42S01", "42P07"),
                    Map.entry("42S11", "42P07"),
                    Map.entry("42S22", "42703"),
                    Map.entry("42S21", "42701"),
                    Map.entry("42000", "42601"),
                    Map.entry("42001", "42601"),
                    Map.entry("90096", "42501"),
                    Map.entry("90040", "42501"),
                    Map.entry("90022", "42883"),
                    Map.entry("90079", "3F000"),
                    Map.entry("90078", "42P06"),
                    Map.entry("90012", "08P01"),
                    Map.entry("HYT00", "55P03"),
                    Map.entry("22018", "22P02"),
                    Map.entry("21S02", "42601"),
                    Map.entry("07001", "08P01"));

    private SqlErrors() {}

    static String toSqlState(SQLException error) {
        String state = error.getSQLState();
        if (state == null) {
            return "XX000";
        }
        return POSTGRES_STATES.getOrDefault(state, state.length() == 5 ? state : "XX000");
    }

    static Map<Character, String> fields(String severity, String state, String message) {
        Map<Character, String> fields = new LinkedHashMap<>();
        fields.put('S', severity);
        fields.put('V', severity);
        fields.put('C', state);
        fields.put('M', message);
        return fields;
    }

    static Map<Character, String> fields(SQLException error) {
        String message = String.valueOf(error.getMessage());
        int statementText = message.indexOf("; SQL statement:");
        return fields(
                "ERROR",
                toSqlState(error),
                statementText < 0 ? message : message.substring(0, statementText));
    }
}
