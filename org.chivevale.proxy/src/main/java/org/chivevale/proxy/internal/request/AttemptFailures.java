package org.chivevale.proxy.internal.request;

import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseFailure;

/**
 * Classifies the failures of single attempts.
 *
 * <p>Stateless and thread safe.
 */
final class AttemptFailures {
    private static final Set<String> TRANSIENT_STATES = Set.of("40001", "40P01", "55P03");

    private AttemptFailures() {}

    /** Converts a timeout into a lost connection, and closes the connection. */
    static Throwable closeOnTimeout(Throwable failure, DatabaseConnection connection) {
        if (!(failure instanceof TimeoutException)) {
            return failure;
        }
        DatabaseFailure.Kind kind = connection.commitState().kindOfLoss();
        connection.close();
        return new DatabaseFailure(kind, "", "the endpoint did not respond in time");
    }

    static DatabaseFailure.Kind kindOf(Throwable failure) {
        return failure instanceof DatabaseFailure databaseFailure ? databaseFailure.kind() : null;
    }

    /**
     * Returns whether the database rejected the statement for a reason that a retry can resolve.
     *
     * <p>These are serialization failures, deadlocks and unavailable locks.
     */
    static boolean isTransient(Throwable failure) {
        return failure instanceof DatabaseFailure databaseFailure
                && databaseFailure.kind() == DatabaseFailure.Kind.STATEMENT
                && TRANSIENT_STATES.contains(databaseFailure.sqlState());
    }
}
