package org.chivevale.proxy.internal.fleet;

import org.chivevale.core.group.GroupId;

/**
 * Who has statements at a primary that is about to be fenced.
 *
 * <p>Called on the event loop.
 */
public interface FencePart {
    /**
     * Tells whether it is worth waiting for statements.
     *
     * @param group the group whose primary is fenced
     * @param nowNanos the time
     * @return true while statements are open at a primary that answers
     */
    boolean awaitsPrimary(GroupId group, long nowNanos);
}
