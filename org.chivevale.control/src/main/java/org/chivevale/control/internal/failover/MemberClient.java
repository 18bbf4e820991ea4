package org.chivevale.control.internal.failover;

import io.vertx.core.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.chivevale.database.MemberConnection;
import org.chivevale.database.MemberConnector;
import org.chivevale.database.MemberTarget;

/**
 * Calls members of groups, opening a connection for each call.
 *
 * <p>Invariant: the action ends within the call's timeout, after which the connection is closed.
 * Used on the event loop.
 */
final class MemberClient {
    private static final long CALL_TIMEOUT_MILLIS = 800;

    private final MemberConnector connector;

    MemberClient(MemberConnector connector) {
        this.connector = connector;
    }

    <T> Future<T> call(MemberTarget target, Function<MemberConnection, Future<T>> action) {
        return call(target, CALL_TIMEOUT_MILLIS, action);
    }

    <T> Future<T> call(
            MemberTarget target, long timeoutMillis, Function<MemberConnection, Future<T>> action) {
        return connector
                .connect(target)
                .compose(
                        connection ->
                                action.apply(connection)
                                        .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                                        .onComplete(ended -> connection.close()));
    }
}
