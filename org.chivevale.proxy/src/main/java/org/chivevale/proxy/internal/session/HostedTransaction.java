package org.chivevale.proxy.internal.session;

import java.util.Map;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Reply;
import org.chivevale.database.session.TransactionState;
import org.chivevale.process.EventLoop;

/**
 * A transaction of another proxy's session, pinned to a connection of this one.
 *
 * <p>Invariant: the connection returns to its pool only once the endpoint reports that no
 * transaction is open on it; otherwise it is closed. Used on the event loop.
 */
final class HostedTransaction {
    private final Placement placement;
    private final Map<String, String> settingsAtBegin;
    private PooledConnection connection;
    private boolean settingsChanged;
    private boolean isBusy;
    private boolean isAbandoned;
    private long idleSinceNanos = EventLoop.nowNanos();

    HostedTransaction(
            PooledConnection connection, Placement placement, Map<String, String> settings) {
        this.connection = connection;
        this.placement = placement;
        this.settingsAtBegin = Map.copyOf(settings);
    }

    Placement placement() {
        return placement;
    }

    boolean isBusy() {
        return isBusy;
    }

    long idleNanos(long nowNanos) {
        return nowNanos - idleSinceNanos;
    }

    /** Begins a statement and returns the connection for it. */
    PooledConnection begin(Map<String, String> settings) {
        isBusy = true;
        settingsChanged |= !settings.equals(settingsAtBegin);
        return connection;
    }

    /**
     * Ends a statement.
     *
     * @return true when the transaction cannot go on and has to be rolled back, unless it has ended
     */
    boolean end(StatementOutcome outcome, Effect effect) {
        isBusy = false;
        idleSinceNanos = EventLoop.nowNanos();
        connection = outcome.connection();
        boolean isCommit = effect == Effect.COMMIT || effect == Effect.COMMIT_OF_READS;
        boolean hasEnded =
                isCommit && outcome.reply() != null && outcome.reply().reply() == Reply.SUCCESS;
        if (hasEnded && connection != null) {
            boolean isClean = outcome.reply().transaction() == TransactionState.NONE;
            connection.pool().release(connection, isClean);
            connection = null;
        }
        return isAbandoned || connection == null;
    }

    /**
     * Gives up a transaction whose statement is in flight; unless that is a commit, it is rolled
     * back once the statement has ended.
     */
    void abandon() {
        isAbandoned = true;
    }

    /** Rolls back and releases the connection, unless that was done. */
    void rollBack() {
        PooledConnection used = connection;
        connection = null;
        if (used == null) {
            return;
        }
        used.rollBackAndRelease(settingsChanged);
    }
}
