package org.chivevale.proxy.internal.request;

import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseFailure;

/**
 * Reads what the failure of one attempt means.
 *
 * <p>Stateless and thread safe.
 */
final class AttemptFailures {
    private static final Set<String> TRANSIENT_STATES = Set.of("40001", "40P01", "55P03");

    private AttemptFailures() {}

    /** Turns a time-out into the loss of the connection, which is closed. */
    static Throwable closeOnTimeout(Throwable failure, DatabaseConnection connection) {
        if (!(failure instanceof TimeoutException)) {
            return failure;
        }
        DatabaseFailure.Kind kind =
                connection.commitPending()
                        ? DatabaseFailure.Kind.LOST_AFTER_COMMIT
                        : DatabaseFailure.Kind.LOST_BEFORE_COMMIT;
        connection.close();
        return new DatabaseFailure(kind, "", "the endpoint did not answer in time");
    }

    static DatabaseFailure.Kind kind(Throwable failure) {
        return failure instanceof DatabaseFailure known ? known.kind() : null;
    }

    /** Tells whether the database refused for a reason that goes away by itself. */
    static boolean isTransient(Throwable failure) {
        return failure instanceof DatabaseFailure refused
                && refused.kind() == DatabaseFailure.Kind.STATEMENT
                && TRANSIENT_STATES.contains(refused.sqlState());
    }
}
