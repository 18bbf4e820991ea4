package org.chivevale.proxy.internal.session;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.admission.PoolUse;

/**
 * The connections of a pool by client account, at one moment.
 *
 * <p>Immutable.
 */
final class PoolUsage implements PoolUse {
    private final Map<ClientAccountId, Integer> inUse = new HashMap<>();
    private final Set<ClientAccountId> withIdle = new HashSet<>();
    private final int capacity;
    private final boolean hasFreeSlot;

    PoolUsage(
            Iterable<PooledConnection> open,
            Iterable<PooledConnection> idle,
            int share,
            int slots,
            boolean hasSlot) {
        int used = 0;
        for (PooledConnection connection : open) {
            inUse.merge(connection.account(), 1, Integer::sum);
            used++;
        }
        for (PooledConnection connection : idle) {
            inUse.merge(connection.account(), -1, Integer::sum);
            withIdle.add(connection.account());
            used--;
        }
        capacity = Math.min(share, slots);
        hasFreeSlot = hasSlot && used < share;
    }

    @Override
    public int inUse(ClientAccountId account) {
        return inUse.getOrDefault(account, 0);
    }

    @Override
    public boolean hasIdle(ClientAccountId account) {
        return withIdle.contains(account);
    }

    @Override
    public int capacity() {
        return capacity;
    }

    @Override
    public boolean hasFreeSlot() {
        return hasFreeSlot;
    }
}
