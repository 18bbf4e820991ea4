package org.chivevale.core.admission;

import org.chivevale.core.account.ClientAccountId;

/**
 * What client accounts use in the pool that a queue belongs to.
 *
 * <p>Read on the thread of the queue.
 */
public interface PoolUse {
    /**
     * Returns how many connections an account has in use.
     *
     * @param account the client account
     * @return connections that run a request or a transaction
     */
    int inUse(ClientAccountId account);

    /**
     * Returns whether an account can be served without opening a connection.
     *
     * @param account the client account
     * @return true when it has an idle connection
     */
    boolean hasIdle(ClientAccountId account);

    /**
     * Returns how many requests may run at once.
     *
     * @return slots or connections, whichever are fewer
     */
    int capacity();

    /**
     * Returns whether a further request could run now.
     *
     * @return true while fewer requests run than {@link #capacity}
     */
    boolean hasFreeSlot();
}
