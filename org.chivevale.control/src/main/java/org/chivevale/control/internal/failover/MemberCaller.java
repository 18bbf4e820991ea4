package org.chivevale.control.internal.failover;

import io.vertx.core.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.database.DatabaseConnector;

/**
 * Calls members of groups, each call on a connection of its own.
 *
 * <p>Invariant: a call ends within its time limit, and its connection is closed then. Used on the
 * event loop.
 */
final class MemberCaller {
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final DatabaseConnector connector;

    MemberCaller(DatabaseConnector connector) {
        this.connector = connector;
    }

    <T> Future<T> call(
            HostPort address, GroupId group, Function<DatabaseConnection, Future<T>> action) {
        return call(address, group, CALL_TIMEOUT_MILLIS, action);
    }

    <T> Future<T> call(
            HostPort address,
            GroupId group,
            long timeoutMillis,
            Function<DatabaseConnection, Future<T>> action) {
        return connector
                .connect(address.host(), address.port(), group, () -> {})
                .compose(
                        connection ->
                                action.apply(connection)
                                        .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                                        .onComplete(ended -> connection.close()));
    }
}
