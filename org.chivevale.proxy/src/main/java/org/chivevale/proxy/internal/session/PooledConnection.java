package org.chivevale.proxy.internal.session;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.interactive.Statement.Prepared;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.database.session.SessionConnection;
import org.chivevale.database.session.TransactionState;
import org.chivevale.process.EventLoop;

/**
 * A pooled connection with its account and its state: session settings and prepared statements.
 *
 * <p>Invariant: it serves one session at a time, and before a statement of a session runs, its
 * settings are those of that session. Not thread safe.
 */
final class PooledConnection {
    private static final long ROLLBACK_TIMEOUT_NANOS = 1_000_000_000;

    private final SessionConnection connection;
    private final RelayedConnection relayed;
    private final ClientAccountId account;
    private final EndpointPool pool;
    private final Map<String, String> settings = new HashMap<>();
    private final Set<Prepared> prepared = new HashSet<>();
    private long idleSinceNanos;
    private boolean settingsUnknown;
    private boolean isRollingBack;
    private long rollbackSentNanos;

    private PooledConnection(
            SessionConnection connection,
            RelayedConnection relayed,
            ClientAccountId account,
            EndpointPool pool) {
        this.connection = connection;
        this.relayed = relayed;
        this.account = account;
        this.pool = pool;
    }

    /** Creates a connection of this proxy to the endpoint. */
    PooledConnection(SessionConnection connection, ClientAccountId account, EndpointPool pool) {
        this(connection, null, account, pool);
    }

    /** Creates a connection over a connection host, which serves one operation. */
    static PooledConnection relayed(
            RelayedConnection relayed, ClientAccountId account, EndpointPool pool) {
        return new PooledConnection(relayed, relayed, account, pool);
    }

    /** Returns the id of the proxy whose connections are used; empty for this one. */
    String hostId() {
        return relayed == null ? "" : relayed.hostId();
    }

    /**
     * Tells whether the proxy whose connections are used sends anything; then it is the one that
     * gives up on the endpoint.
     */
    boolean isHostResponsive(long maxSilenceNanos) {
        return relayed != null && relayed.silenceNanos() <= maxSilenceNanos;
    }

    boolean isRelayed() {
        return relayed != null;
    }

    /** Sends a statement after the session's settings and its prepared statement. */
    void execute(Attempt attempt, Consumer<EndpointReply> done) {
        if (relayed != null) {
            relayed.execute(attempt, done);
            return;
        }
        applySettings(attempt.settings());
        Statement statement = attempt.statement();
        if (attempt.prepared() != null && statement instanceof Statement.Execute execute) {
            ensurePrepared(attempt.prepared(), attempt.preparedName());
            statement = new Statement.Execute(attempt.preparedName(), execute.arguments());
        }
        connection.execute(attempt.id(), statement, attempt.requiredPosition(), done);
    }

    /**
     * Records that a statement was sent. A silent host says nothing about the endpoint, so relayed
     * statements do not count as in flight there.
     */
    void recordSent(long nowNanos) {
        if (relayed == null) {
            pool.health().recordSent(nowNanos);
        }
    }

    /** Records that a statement has ended. */
    void recordEnded() {
        if (relayed == null) {
            pool.health().recordEnded();
        }
    }

    /** Records what the reply says about the endpoint. */
    void recordReply(EndpointReply reply, long sentAtNanos) {
        if (relayed == null || relayed.isFromEndpoint()) {
            pool.recordReply(reply, sentAtNanos);
        } else if (relayed.haveAllHostsFailed()) {
            pool.health().recordUnreachable(EventLoop.nowNanos());
        } else if (reply.reply() == Reply.BUSY) {
            pool.health().recordBusyHost(EventLoop.nowNanos());
        }
    }

    SessionConnection connection() {
        return connection;
    }

    ClientAccountId account() {
        return account;
    }

    EndpointPool pool() {
        return pool;
    }

    boolean isUsable() {
        return connection.usable();
    }

    void setIdleSince(long nanos) {
        idleSinceNanos = nanos;
    }

    long idleSince() {
        return idleSinceNanos;
    }

    /** Marks the settings as unknown, since a rollback may have undone changes to them. */
    void markSettingsUnknown() {
        settingsUnknown = true;
    }

    private boolean hasSettings(Map<String, String> wanted) {
        return !settingsUnknown && settings.equals(wanted);
    }

    /** Sends the session's settings that differ, pipelined ahead of its statement. */
    private void applySettings(Map<String, String> wanted) {
        if (hasSettings(wanted)) {
            return;
        }
        if (settingsUnknown || !wanted.keySet().containsAll(settings.keySet())) {
            sendOwn(new Statement.Discard());
            settings.clear();
            prepared.clear();
            settingsUnknown = false;
        }
        for (Map.Entry<String, String> value : wanted.entrySet()) {
            if (!value.getValue().equals(settings.get(value.getKey()))) {
                sendOwn(new Statement.SetValue(value.getKey(), value.getValue()));
            }
        }
        settings.putAll(wanted);
    }

    /**
     * Rolls back at the endpoint and returns to the pool; closed if the endpoint does not say that
     * no transaction is open.
     *
     * @param settingsChanged true when the rollback may undo changes of settings
     */
    void rollBackAndRelease(boolean settingsChanged) {
        if (settingsChanged) {
            markSettingsUnknown();
        }
        rollbackSentNanos = EventLoop.nowNanos();
        isRollingBack = true;
        connection.execute(
                SessionConnection.OWN_ID,
                new Statement.Rollback(),
                null,
                reply -> {
                    isRollingBack = false;
                    boolean isClean =
                            reply.reply() == Reply.SUCCESS
                                    && reply.transaction() == TransactionState.NONE;
                    pool.release(this, isClean);
                });
    }

    /** Returns true when a rollback has got no reply in time, so that the connection must go. */
    boolean isRollbackOverdue(long nowNanos) {
        return isRollingBack && nowNanos - rollbackSentNanos > ROLLBACK_TIMEOUT_NANOS;
    }

    /** Resets settings and prepared statements; the reply carries the endpoint's position. */
    void reset(Consumer<EndpointReply> done) {
        settings.clear();
        prepared.clear();
        settingsUnknown = false;
        connection.execute(SessionConnection.OWN_ID, new Statement.Discard(), null, done::accept);
    }

    /** Prepares a statement under the proxy's name for it, unless that was done before. */
    private void ensurePrepared(Prepared wanted, String name) {
        if (prepared.add(wanted)) {
            sendOwn(new Statement.Prepare(name, wanted));
        }
    }

    void forgetPrepared(Prepared unknown) {
        prepared.remove(unknown);
    }

    /**
     * Sends a statement of the proxy's own; closes the connection if it fails, as its state is
     * unknown then.
     */
    private void sendOwn(Statement statement) {
        connection.execute(
                SessionConnection.OWN_ID,
                statement,
                null,
                reply -> {
                    if (reply.reply() != Reply.SUCCESS) {
                        connection.close();
                    }
                });
    }
}
