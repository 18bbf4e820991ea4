package org.chivevale.proxy.internal.transaction;

import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Group;
import org.chivevale.core.session.SessionToken;
import org.chivevale.database.DatabaseConnection;
import org.chivevale.proxy.internal.pool.InstancePool;

/**
 * An interactive transaction and the connection that it occupies.
 *
 * <p>Invariant: one step runs at a time; after the end the connection is released exactly once.
 * Used on the event loop.
 */
final class OpenTransaction {
    final String id;
    final ClientAccountId account;
    final String keyId;
    final Group group;
    final InstancePool pool;
    final DatabaseConnection connection;
    final SessionToken session;
    final long startedAtNanos;
    final long expiresAtNanos;
    long idleSinceNanos;
    boolean isStepRunning;
    boolean isEnded;

    OpenTransaction(
            String id,
            ClientAccountId account,
            String keyId,
            Group group,
            InstancePool pool,
            DatabaseConnection connection,
            SessionToken session,
            long startedAtNanos,
            long expiresAtNanos) {
        this.id = id;
        this.account = account;
        this.keyId = keyId;
        this.group = group;
        this.pool = pool;
        this.connection = connection;
        this.session = session;
        this.startedAtNanos = startedAtNanos;
        this.expiresAtNanos = expiresAtNanos;
        this.idleSinceNanos = startedAtNanos;
    }
}
