package org.chivevale.database;

import io.vertx.core.Future;

/**
 * Opens connections that administer members of groups.
 *
 * <p>Used on one event loop.
 */
public interface MemberConnector {
    /**
     * Opens a connection.
     *
     * @param target the member
     * @return the connection; fails when the member cannot be reached or has another identity
     */
    Future<? extends MemberConnection> connect(MemberTarget target);
}
