package org.chivevale.database.internal.postgres;

import io.vertx.core.VertxException;
import io.vertx.pgclient.PgException;
import org.chivevale.core.group.GroupId;
import org.chivevale.database.CommitState;
import org.chivevale.database.DatabaseFailure;

/**
 * Translates failures of the Vert.x client into {@link DatabaseFailure}s.
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

    /** Translates a failure of the statement that checks the primary's term. */
    static Throwable translateTermCheck(Throwable failure, GroupId group) {
        if (failure instanceof PgException error) {
            String sqlState = String.valueOf(error.getSqlState());
            boolean termReplaced =
                    sqlState.equals(DIVISION_BY_ZERO)
                            || sqlState.equals(IN_RECOVERY)
                            || sqlState.equals(READ_ONLY);
            if (termReplaced) {
                return new DatabaseFailure(
                        DatabaseFailure.Kind.TERM_REPLACED,
                        sqlState,
                        "group " + group + ": " + error.getErrorMessage());
            }
        }
        return failure;
    }

    /** Translates a failure to set a client account's role. */
    static Throwable translateRoleChange(Throwable failure) {
        boolean missing =
                failure instanceof PgException error && ROLE_MISSING.equals(error.getSqlState());
        return missing
                ? new DatabaseFailure(
                        DatabaseFailure.Kind.ROLE_MISSING, ROLE_MISSING, failure.getMessage())
                : failure;
    }

    /**
     * Translates any failure; all but the database's own errors count as a lost connection, and so
     * do errors of queries that follow a commit.
     */
    static DatabaseFailure translate(Throwable failure, CommitState state, GroupId group) {
        if (failure instanceof DatabaseFailure known) {
            return known;
        }
        if (failure instanceof PgException error
                && state.canBeRejected()
                && !endsConnection(error.getSqlState())) {
            return new DatabaseFailure(
                    DatabaseFailure.Kind.STATEMENT,
                    String.valueOf(error.getSqlState()),
                    error.getErrorMessage());
        }
        if (isParameterError(failure) && !state.mayHaveEffect()) {
            return new DatabaseFailure(
                    DatabaseFailure.Kind.STATEMENT, INVALID_TEXT, failure.getMessage());
        }
        return new DatabaseFailure(state.kindOfLoss(), "", "group " + group + ": " + failure);
    }

    /** Tells whether an SQLSTATE means that the server shuts down or the connection is broken. */
    private static boolean endsConnection(String sqlState) {
        return sqlState != null
                && (sqlState.startsWith("57P")
                        || sqlState.startsWith("08")
                        || sqlState.startsWith("53"));
    }

    /** Tells whether the client library rejected a parameter, so that nothing was sent. */
    private static boolean isParameterError(Throwable failure) {
        return failure.getClass() == VertxException.class
                && String.valueOf(failure.getMessage()).contains("Parameter");
    }
}
