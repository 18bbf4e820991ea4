package org.chivevale.proxy.internal.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.admission.AdmissionRequest;
import org.chivevale.core.admission.Ticket;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.interactive.Effect;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.Statement;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.database.session.SessionConnection;
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

    private static final int PRIORITY = 0;

    private final Directory directory;
    private final SessionPools pools;
    private final WarmupGate warmup;
    private final Map<GroupId, Probe> probes = new HashMap<>();

    private static final class Probe {
        final Placement primary;
        final long startedAtNanos;
        Ticket<EndpointPool.Waiter> waiter;
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
        Ticket<EndpointPool.Waiter> waiter =
                primary.pool()
                        .acquire(
                                request(account, now),
                                connection -> onConnected(probe, connection));
        if (probe.connection == null && !probe.isEnded) {
            probe.waiter = waiter;
        }
    }

    /** Returns a request that any connection host may relay, since a probe has no text. */
    private static PoolRequest request(ClientAccountId account, long nowNanos) {
        return new PoolRequest(
                new AdmissionRequest(PRIORITY, account, nowNanos + TIMEOUT_NANOS),
                AllowedRegions.ANY);
    }

    /** Gives up probes without a reply and forgets those that have ended. */
    void tick(long nowNanos) {
        List<Probe> overdue = new ArrayList<>(probes.values());
        overdue.removeIf(
                probe -> probe.isEnded || nowNanos - probe.startedAtNanos <= TIMEOUT_NANOS);
        overdue.forEach(PositionProbe::abandon);
        probes.values()
                .removeIf(
                        probe -> probe.isEnded && nowNanos - probe.startedAtNanos > INTERVAL_NANOS);
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
        connection.recordSent(sentAtNanos);
        if (connection.isRelayed()) {
            connection.execute(
                    begin(probe.primary.group()), reply -> onReply(probe, reply, sentAtNanos));
        } else {
            connection.reset(reply -> onReply(probe, reply, sentAtNanos));
        }
    }

    /** Returns a transaction that only begins: the answer has the position, and nothing runs. */
    private static Attempt begin(Group group) {
        return new Attempt(
                SessionConnection.OWN_ID,
                new Statement.Begin(true),
                null,
                null,
                Map.of(),
                null,
                Effect.BEGIN,
                group.term(),
                PRIORITY,
                (int) (TIMEOUT_NANOS / NANOS_PER_MILLI));
    }

    private boolean mayAsk(Probe probe) {
        EndpointId endpoint = probe.primary.pool().target().endpoint();
        return isStillPrimary(probe)
                && (probe.primary.pool().isRelayed()
                        || warmup.tryAdmit(probe.primary.group().id(), endpoint, probe));
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
        probe.connection.recordEnded();
        probe.connection.recordReply(reply, sentAtNanos);
        if (reply.position() != null && isStillPrimary(probe)) {
            pools.samples(probe.primary.group().id()).add(sentAtNanos, reply.position());
        }
        pool.release(probe.connection, reply.reply() == Reply.SUCCESS);
    }
}
