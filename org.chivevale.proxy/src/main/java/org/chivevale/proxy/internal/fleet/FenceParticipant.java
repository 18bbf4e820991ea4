package org.chivevale.proxy.internal.fleet;

import org.chivevale.core.group.GroupId;

/**
 * A service that may delay a fence while its statements are in flight at the primary.
 *
 * <p>Called on the event loop.
 */
public interface FenceParticipant {
    /**
     * Returns whether the fence should wait for statements.
     *
     * @param group the group whose primary is about to be fenced
     * @param nowNanos the monotonic time
     * @return true while statements are in flight at a primary that responds
     */
    boolean delaysFence(GroupId group, long nowNanos);
}
