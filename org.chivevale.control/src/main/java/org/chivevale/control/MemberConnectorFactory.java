package org.chivevale.control;

import org.chivevale.database.MemberConnector;
import org.chivevale.process.EventLoop;

/**
 * Creates the connector through which control reaches the members of database groups.
 *
 * <p>Called once, when the process starts.
 */
@FunctionalInterface
public interface MemberConnectorFactory {
    /**
     * Creates the connector.
     *
     * @param loop the event loop that runs the connections
     * @return the connector
     */
    MemberConnector create(EventLoop loop);
}
