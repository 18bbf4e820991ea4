package org.chivevale.database.internal.postgres;

import io.vertx.core.VertxException;
import io.vertx.pgclient.PgException;
import org.chivevale.core.group.GroupId;
import org.chivevale.database.DatabaseFailure;

/**
 * Translates what the Vert.x client reports into the system's failures.
 *
 * <p>Codes: "PostgreSQL Error Codes" in the PostgreSQL documentation. Stateless and thread safe.
 */
final class PostgresFailures {
    private static final String DIVISION_BY_ZERO = "22012";
    private static final String IN_RECOVERY = "55000";
    private static final String READ_ONLY = "25006";
    private static final String ROLE_MISSING = "22023";
    private static final String INVALID_TEXT = "22P02";

    private PostgresFailures() {}

    /** Translates the failure of the statement that checks the term. */
    static Throwable ofGuard(Throwable failure, GroupId group) {
        if (failure instanceof PgException refused) {
            String state = String.valueOf(refused.getSqlState());
            boolean replaced =
                    state.equals(DIVISION_BY_ZERO)
                            || state.equals(IN_RECOVERY)
                            || state.equals(READ_ONLY);
            if (replaced) {
                return new DatabaseFailure(
                        DatabaseFailure.Kind.TERM_REPLACED,
                        state,
                        "group " + group + ": " + refused.getErrorMessage());
            }
        }
        return failure;
    }

    /** Translates the failure of taking a client account's role. */
    static Throwable ofRole(Throwable failure) {
        boolean missing =
                failure instanceof PgException refused
                        && ROLE_MISSING.equals(refused.getSqlState());
        return missing
                ? new DatabaseFailure(
                        DatabaseFailure.Kind.ROLE_MISSING, ROLE_MISSING, failure.getMessage())
                : failure;
    }

    /** Translates any failure; what is not the database's refusal counts as a lost connection. */
    static DatabaseFailure translate(Throwable failure, boolean commitSent, GroupId group) {
        if (failure instanceof DatabaseFailure known) {
            return known;
        }
        if (failure instanceof PgException refused && !endsConnection(refused.getSqlState())) {
            return new DatabaseFailure(
                    DatabaseFailure.Kind.STATEMENT,
                    String.valueOf(refused.getSqlState()),
                    refused.getErrorMessage());
        }
        if (isParameterFault(failure)) {
            return new DatabaseFailure(
                    DatabaseFailure.Kind.STATEMENT, INVALID_TEXT, failure.getMessage());
        }
        return new DatabaseFailure(
                commitSent
                        ? DatabaseFailure.Kind.LOST_AFTER_COMMIT
                        : DatabaseFailure.Kind.LOST_BEFORE_COMMIT,
                "",
                "group " + group + ": " + failure);
    }

    /** Tells whether a code means that the server shuts down or the connection is of no use. */
    private static boolean endsConnection(String sqlState) {
        return sqlState != null
                && (sqlState.startsWith("57P")
                        || sqlState.startsWith("08")
                        || sqlState.startsWith("53"));
    }

    /** Tells whether the client itself refused a parameter, so that nothing was sent. */
    private static boolean isParameterFault(Throwable failure) {
        return failure.getClass() == VertxException.class
                && String.valueOf(failure.getMessage()).contains("Parameter");
    }
}
