package org.chivevale.proxy.internal.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.config.Account;
import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.Group;
import org.chivevale.core.config.Route;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.TermPosition;
import org.chivevale.core.interactive.Statement.Prepared;
import org.chivevale.database.session.EndpointReply;
import org.chivevale.process.EventLoop;
import org.chivevale.proxy.ProxySettings;
import org.chivevale.proxy.internal.fleet.Directory;

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
    private final Map<Prepared, String> names = new HashMap<>();
    private final Set<StatementExecution> executions = new LinkedHashSet<>();
    private long lastNameNumber;

    SessionEngine(
            EventLoop loop, Directory directory, SessionPools pools, PlacementSelector selector) {
        this.loop = loop;
        this.directory = directory;
        this.pools = pools;
        this.selector = selector;
    }

    /**
     * Creates the engine.
     *
     * @param loop the event loop
     * @param settings the process's settings
     * @param directory lease, configuration and members
     * @param pools connections to endpoints
     * @return the engine
     */
    public static SessionEngine create(
            EventLoop loop, ProxySettings settings, Directory directory, SessionPools pools) {
        return new SessionEngine(
                loop, directory, pools, new PlacementSelector(settings, directory, pools));
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

    /** Returns the regions whose processes may receive a statement's text. */
    AllowedRegions allowedRegions(Route route, ClientAccountId id) {
        Account account = directory.configuration().account(id);
        return account == null
                ? route.allowedRegions()
                : route.allowedRegions().intersect(account.allowedRegions());
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
            Route route, boolean primaryOnly, TermPosition lastCommit, Set<EndpointId> excluded) {
        return primaryOnly
                ? selector.selectPrimary(route)
                : selector.selectForRead(route, lastCommit, excluded);
    }
}
