package org.chivevale.proxy.internal.session;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.Statement;
import org.chivevale.core.interactive.Statement.Prepared;
import org.chivevale.database.session.SessionConnection;

/**
 * One connection of a pool and what it carries: its account, session values, prepared statements.
 *
 * <p>Invariant: it serves one session at a time, and before a session's statement runs, its values
 * are that session's. Not thread safe.
 */
final class PooledConnection {
    private final SessionConnection connection;
    private final ClientAccountId account;
    private final EndpointPool pool;
    private final Map<String, String> values = new HashMap<>();
    private final Set<Prepared> prepared = new HashSet<>();
    private long idleSinceNanos;
    private boolean doubtful;

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

    boolean usable() {
        return connection.usable();
    }

    void idleSince(long nanos) {
        idleSinceNanos = nanos;
    }

    long idleSince() {
        return idleSinceNanos;
    }

    /** Marks values that a rolled back transaction may have changed. */
    void doubtValues() {
        doubtful = true;
    }

    boolean carries(Map<String, String> wanted) {
        return !doubtful && values.equals(wanted);
    }

    /** Gives the connection a session's values, before its statement, in the same flight. */
    void adopt(Map<String, String> wanted) {
        if (carries(wanted)) {
            return;
        }
        if (doubtful || !wanted.keySet().containsAll(values.keySet())) {
            send(new Statement.Discard());
            values.clear();
            prepared.clear();
            doubtful = false;
        }
        for (Map.Entry<String, String> value : wanted.entrySet()) {
            if (!value.getValue().equals(values.get(value.getKey()))) {
                send(new Statement.SetValue(value.getKey(), value.getValue()));
            }
        }
        values.putAll(wanted);
    }

    /** Prepares a statement under the proxy's name for it, unless the connection knows it. */
    void prepare(Prepared wanted, String name) {
        if (prepared.add(wanted)) {
            send(new Statement.Prepare(name, wanted));
        }
    }

    void forget(Prepared unknown) {
        prepared.remove(unknown);
    }

    /** After such a statement has failed, what the connection carries is unknown. */
    private void send(Statement statement) {
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
