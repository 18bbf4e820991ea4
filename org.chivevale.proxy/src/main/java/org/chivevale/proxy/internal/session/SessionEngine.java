package org.chivevale.proxy.internal.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.admission.AdmissionRequest;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Group;
import org.chivevale.core.config.Route;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Reply;
import org.chivevale.core.interactive.Statement.Prepared;
import org.chivevale.database.MemberTarget;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;
import org.chivevale.proxy.internal.rate.WarmupGate;

/**
 * The statement execution state that all sessions of a proxy share.
 *
 * <p>Selects endpoints, records the positions of primaries, names prepared statements and checks
 * the timeouts of statements in flight. Used on the event loop.
 */
public final class SessionEngine {
    private static final int MAX_NAMES = 4096;

    private final EventLoop loop;
    private final Directory directory;
    private final SessionPools pools;
    private final PlacementSelector selector;
    private final WarmupGate warmup;
    private final Map<Prepared, String> names = new HashMap<>();
    private final Set<StatementExecution> executions = new LinkedHashSet<>();
    private long lastNameNumber;

    SessionEngine(
            EventLoop loop,
            Directory directory,
            SessionPools pools,
            PlacementSelector selector,
            WarmupGate warmup) {
        this.loop = loop;
        this.directory = directory;
        this.pools = pools;
        this.selector = selector;
        this.warmup = warmup;
    }

    /**
     * Creates the engine.
     *
     * @param loop the event loop
     * @param settings the process's settings
     * @param directory lease, configuration and members
     * @param pools connections to endpoints
     * @param warmup admits statements to cold endpoints
     * @return the engine
     */
    public static SessionEngine create(
            EventLoop loop,
            ProxySettings settings,
            Directory directory,
            SessionPools pools,
            WarmupGate warmup) {
        return new SessionEngine(
                loop,
                directory,
                pools,
                new PlacementSelector(settings, directory, pools, warmup),
                warmup);
    }

    boolean isLeased() {
        return directory.isLeased(EventLoop.nowNanos());
    }

    /**
     * Returns true while statements may be sent to a placement and its replies count: the lease is
     * valid and a primary has not been replaced.
     */
    boolean isCurrent(Placement placement) {
        long now = EventLoop.nowNanos();
        if (!placement.isPrimary()) {
            return directory.isLeased(now);
        }
        return directory.isStillPrimary(
                placement.group().id(),
                placement.group().term(),
                placement.pool().target().endpoint(),
                now);
    }

    /** Returns true while the endpoint of a placement may get a new statement. */
    boolean isOpen(Placement placement) {
        MemberTarget target = placement.pool().target();
        return directory.availability().isOpen(target.group(), target.endpoint());
    }

    /** Returns true while a transaction that is open at a placement may go on. */
    boolean mayContinue(Placement placement) {
        MemberTarget target = placement.pool().target();
        return directory
                .availability()
                .mayContinue(target.group(), target.endpoint(), EventLoop.nowNanos());
    }

    /** Returns why the endpoint of a placement gets no new statement; empty when it does. */
    String closedReason(Placement placement) {
        MemberTarget target = placement.pool().target();
        return directory.availability().reason(target.group(), target.endpoint());
    }

    /** Returns why a request without a placement is rejected at once; null when it waits. */
    String rejection(Route route) {
        return selector.rejection(route);
    }

    /** Returns why the primary of a route gets no new statement; empty when it does. */
    String primaryReason(Route route) {
        return selector.primaryReason(route);
    }

    /** Returns true once the endpoint selected as primary has been replaced or its term ended. */
    boolean isReplaced(Placement placement) {
        Group current = directory.configuration().group(placement.group().id());
        return placement.isPrimary()
                && (current.term() != placement.group().term()
                        || !placement.pool().target().endpoint().equals(current.primary()));
    }

    /** Records the position of a primary, which bounds the staleness of its replicas. */
    void recordPosition(Placement placement, EndpointReply reply, long sentAtNanos) {
        if (placement.isPrimary() && reply.position() != null && isCurrent(placement)) {
            pools.samples(placement.group().id()).add(sentAtNanos, reply.position());
        }
    }

    /** Records that the success of a commit is about to be reported to its caller. */
    void recordAcknowledged(Placement placement, TermPosition position) {
        pools.acknowledged().record(placement.group().id(), position);
    }

    /** Returns the regions whose processes may receive a statement's text. */
    AllowedRegions allowedRegions(Route route, ClientAccountId account) {
        return selector.allowedRegions(route, account);
    }

    /** Returns the proxy's own name of a prepared statement, the same on all connections. */
    String nameFor(Prepared prepared) {
        if (names.size() >= MAX_NAMES) {
            names.clear();
        }
        return names.computeIfAbsent(prepared, key -> "c" + ++lastNameNumber);
    }

    void onStarted(StatementExecution execution) {
        executions.add(execution);
    }

    void onFinished(StatementExecution execution) {
        executions.remove(execution);
    }

    void runAfter(long millis, Runnable action) {
        loop.vertx().setTimer(millis, ignored -> action.run());
    }

    /**
     * Returns whether statements are running.
     *
     * @return true while {@link #tick} has statements to check
     */
    public boolean isBusy() {
        return !executions.isEmpty();
    }

    /** Checks all statements for timeouts, replaced primaries and pending retries. */
    public void tick() {
        long now = EventLoop.nowNanos();
        List<StatementExecution> running = new ArrayList<>(executions);
        running.forEach(execution -> execution.tick(now));
        selector.tick(now);
    }

    /**
     * Returns whether statements are in flight at a primary that responds.
     *
     * @param group the group
     * @param nowNanos the monotonic time
     * @return true when fencing should wait for their replies
     */
    public boolean hasInFlightAtPrimary(GroupId group, long nowNanos) {
        return executions.stream()
                .anyMatch(execution -> execution.isInFlightAtPrimary(group, nowNanos));
    }

    Placement selectPlacement(
            Route route,
            ClientAccountId account,
            boolean primaryOnly,
            TermPosition lastCommit,
            Set<EndpointId> excluded,
            Object statement) {
        return primaryOnly
                ? selector.selectPrimary(route, account, statement)
                : selector.selectForRead(route, account, lastCommit, excluded, statement);
    }

    /** Admits a statement to its endpoint, directly before it is sent there. */
    boolean tryAdmit(Placement placement, Object statement) {
        return warmup.tryAdmit(
                placement.group().id(), placement.pool().target().endpoint(), statement);
    }

    /** Returns true while a statement needs a token to be sent to its endpoint. */
    boolean needsToken(Placement placement) {
        return warmup.isCold(placement.group().id(), placement.pool().target().endpoint());
    }

    /** Notes that an endpoint has accepted a connection. */
    void recordOpen(PooledConnection used) {
        warmup.recordAttempt(
                used.pool().target().group(), used.pool().target().endpoint(), false, true);
    }

    /** Notes how an attempt ended, by which a restart of the endpoint shows. */
    void recordAttempt(PooledConnection used, EndpointReply reply) {
        boolean replied = reply.reply() != Reply.UNREACHABLE && reply.reply() != Reply.LOST;
        warmup.recordAttempt(
                used.pool().target().group(),
                used.pool().target().endpoint(),
                reply.reply() == Reply.UNREACHABLE && used.connection().wasRefused(),
                replied);
    }

    /** Lets statements that wait for an endpoint go on, the most urgent first. */
    public void resumeByUrgency() {
        List<StatementExecution> waiting = new ArrayList<>(executions);
        waiting.removeIf(execution -> !execution.isWaitingForEndpoint());
        waiting.sort(StatementExecution.BY_URGENCY);
        waiting.forEach(StatementExecution::resume);
    }

    /** Returns why a request can run nowhere because of its regions, or null when it can. */
    String findRegionExclusion(Route route, ClientAccountId account, boolean primaryOnly) {
        return selector.findRegionExclusion(route, account, primaryOnly);
    }

    /** Returns why a statement can run nowhere, or null when it may wait for an endpoint. */
    String findRejection(Route route, ClientAccountId account, boolean primaryOnly) {
        String exclusion = findRegionExclusion(route, account, primaryOnly);
        return exclusion != null ? exclusion : rejection(route);
    }

    /**
     * Finds an endpoint that lets a read wait, other than one that rejects it.
     *
     * @param rejecting the placement that rejects it
     * @param excluded endpoints to leave out
     * @param requester the statement, for which a token may be requested
     * @return the placement, or null when none accepts the read
     */
    Placement findAccepting(
            SessionContext context,
            AdmissionRequest admission,
            Placement rejecting,
            Set<EndpointId> excluded,
            Object requester) {
        Set<EndpointId> tried = new HashSet<>(excluded);
        Placement next = rejecting;
        while (next != null && tried.add(next.pool().target().endpoint())) {
            next =
                    selectPlacement(
                            context.route(),
                            context.account(),
                            false,
                            context.lastCommit(),
                            tried,
                            requester);
            if (next != null && next.pool().rejectionFor(admission) == null) {
                return next;
            }
        }
        return null;
    }
}
