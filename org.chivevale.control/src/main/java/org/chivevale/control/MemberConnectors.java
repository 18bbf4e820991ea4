package org.chivevale.control;

import org.chivevale.database.MemberConnector;
import org.chivevale.process.EventLoop;

/**
 * Chooses how control reaches the members of database groups.
 *
 * <p>Called once, when the process starts.
 */
@FunctionalInterface
public interface MemberConnectors {
    /**
     * Creates the connector.
     *
     * @param loop runs the connections
     * @return the connector
     */
    MemberConnector create(EventLoop loop);
}
