package org.chivevale.database;

import io.vertx.core.Future;

/**
 * Opens connections for the administration of members.
 *
 * <p>Used on one event loop.
 */
public interface MemberConnector {
    /**
     * Opens a connection.
     *
     * @param target the member
     * @return the connection; fails when the member cannot be reached or is another one
     */
    Future<? extends MemberConnection> connect(MemberTarget target);
}
