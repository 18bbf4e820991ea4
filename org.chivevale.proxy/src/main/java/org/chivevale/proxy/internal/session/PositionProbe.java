package org.chivevale.proxy.internal.session;

import java.util.HashMap;
import java.util.Map;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.interactive.Reply;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.rate.WarmupGate;

/**
 * Asks primaries for their position on behalf of reads that may not run there.
 *
 * <p>Replicas serve a read only if a recent position of the primary is known, which otherwise comes
 * from the replies to statements. Invariants: a probe carries no text of a caller; there is at most
 * one for each group. Used on the event loop.
 */
final class PositionProbe {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long INTERVAL_NANOS = 200 * NANOS_PER_MILLI;

    /** Time after which a probe without a reply is given up and its connection is closed. */
    private static final long TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

    private final Directory directory;
    private final SessionPools pools;
    private final WarmupGate warmup;
    private final Map<GroupId, Probe> probes = new HashMap<>();

    private static final class Probe {
        final Placement primary;
        final long startedAtNanos;
        EndpointPool.Waiter waiter;
        PooledConnection connection;
        boolean isEnded;

        Probe(Placement primary, long startedAtNanos) {
            this.primary = primary;
            this.startedAtNanos = startedAtNanos;
        }
    }

    PositionProbe(Directory directory, SessionPools pools, WarmupGate warmup) {
        this.directory = directory;
        this.pools = pools;
        this.warmup = warmup;
    }

    /** Asks a primary for its position, unless that was done shortly before. */
    void request(Placement primary, ClientAccountId account) {
        long now = EventLoop.nowNanos();
        Probe last = probes.get(primary.group().id());
        if (last != null && !isDue(last, now)) {
            return;
        }
        if (last != null && !last.isEnded) {
            abandon(last);
        }
        Probe probe = new Probe(primary, now);
        probes.put(primary.group().id(), probe);
        EndpointPool.Waiter waiter =
                primary.pool().acquire(account, connection -> onConnected(probe, connection));
        if (probe.connection == null && !probe.isEnded) {
            probe.waiter = waiter;
        }
    }

    private static boolean isDue(Probe last, long nowNanos) {
        long pauseNanos = last.isEnded ? INTERVAL_NANOS : TIMEOUT_NANOS;
        return nowNanos - last.startedAtNanos > pauseNanos;
    }

    private static void abandon(Probe probe) {
        if (probe.waiter != null) {
            probe.isEnded = true;
            probe.primary.pool().cancel(probe.waiter);
        } else if (probe.connection != null) {
            probe.connection.connection().close();
        }
    }

    private void onConnected(Probe probe, PooledConnection connection) {
        probe.waiter = null;
        if (connection == null) {
            probe.isEnded = true;
            return;
        }
        if (!mayAsk(probe)) {
            probe.isEnded = true;
            connection.pool().release(connection, true);
            return;
        }
        probe.connection = connection;
        long sentAtNanos = EventLoop.nowNanos();
        connection.pool().health().recordSent(sentAtNanos);
        connection.reset(reply -> onReply(probe, reply, sentAtNanos));
    }

    private boolean mayAsk(Probe probe) {
        EndpointId endpoint = probe.primary.pool().target().endpoint();
        return isStillPrimary(probe)
                && warmup.tryAdmit(probe.primary.group().id(), endpoint, probe);
    }

    private boolean isStillPrimary(Probe probe) {
        Group group = probe.primary.group();
        return directory.isStillPrimary(
                group.id(),
                group.term(),
                probe.primary.pool().target().endpoint(),
                EventLoop.nowNanos());
    }

    private void onReply(Probe probe, EndpointReply reply, long sentAtNanos) {
        probe.isEnded = true;
        EndpointPool pool = probe.primary.pool();
        pool.health().recordEnded();
        pool.recordReply(reply, sentAtNanos);
        if (reply.position() != null && isStillPrimary(probe)) {
            pools.samples(probe.primary.group().id()).add(sentAtNanos, reply.position());
        }
        pool.release(probe.connection, reply.reply() == Reply.SUCCESS);
    }
}
