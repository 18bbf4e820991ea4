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

/**
 * A pooled connection with its account and its state: session settings and prepared statements.
 *
 * <p>Invariant: it serves one session at a time, and before a statement of a session runs, its
 * settings are those of that session. Not thread safe.
 */
final class PooledConnection {
    private final SessionConnection connection;
    private final ClientAccountId account;
    private final EndpointPool pool;
    private final Map<String, String> settings = new HashMap<>();
    private final Set<Prepared> prepared = new HashSet<>();
    private long idleSinceNanos;
    private boolean settingsUnknown;

    PooledConnection(SessionConnection connection, ClientAccountId account, EndpointPool pool) {
        this.connection = connection;
        this.account = account;
        this.pool = pool;
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

    boolean hasSettings(Map<String, String> wanted) {
        return !settingsUnknown && settings.equals(wanted);
    }

    /** Sends the session's settings that differ, pipelined ahead of its statement. */
    void applySettings(Map<String, String> wanted) {
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

    /** Resets settings and prepared statements; the reply carries the endpoint's position. */
    void reset(Consumer<EndpointReply> done) {
        settings.clear();
        prepared.clear();
        settingsUnknown = false;
        connection.execute(SessionConnection.OWN_ID, new Statement.Discard(), null, done::accept);
    }

    /** Prepares a statement under the proxy's name for it, unless that was done before. */
    void ensurePrepared(Prepared wanted, String name) {
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
