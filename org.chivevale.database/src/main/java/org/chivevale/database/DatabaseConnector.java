package org.chivevale.database;

import io.vertx.core.Future;
import org.chivevale.core.group.GroupId;

/**
 * Opens connections to endpoints.
 *
 * <p>Used on one event loop.
 */
public interface DatabaseConnector extends MemberConnector {
    /**
     * Opens a connection.
     *
     * @param host the endpoint's host name or IP address
     * @param port the endpoint's port
     * @param group the database group
     * @param onClose runs when the connection is closed by the other side
     * @return the connection
     */
    Future<DatabaseConnection> connect(String host, int port, GroupId group, Runnable onClose);

    @Override
    default Future<DatabaseConnection> connect(MemberTarget target) {
        return connect(target.address().host(), target.address().port(), target.group(), () -> {});
    }
}
