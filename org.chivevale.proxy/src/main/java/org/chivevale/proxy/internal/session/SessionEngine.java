package org.chivevale.proxy.internal.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * What all sessions of a proxy share: places, samples, names of prepared statements, timers.
 *
 * <p>Used on the event loop.
 */
public final class SessionEngine {
    private static final int NAMES_KEPT = 4096;

    private final EventLoop loop;
    private final Directory directory;
    private final SessionPools pools;
    private final Placer placer;
    private final Map<Prepared, String> names = new HashMap<>();
    private final Set<Attempt> attempts = new LinkedHashSet<>();
    private long namesMade;

    SessionEngine(EventLoop loop, Directory directory, SessionPools pools, Placer placer) {
        this.loop = loop;
        this.directory = directory;
        this.pools = pools;
        this.placer = placer;
    }

    /**
     * Creates the engine.
     *
     * @param loop runs everything
     * @param settings the process's settings
     * @param directory what is known of the fleet
     * @param pools connections to endpoints
     * @return the engine
     */
    public static SessionEngine create(
            EventLoop loop, ProxySettings settings, Directory directory, SessionPools pools) {
        return new SessionEngine(loop, directory, pools, new Placer(settings, directory, pools));
    }

    boolean leased() {
        return directory.leased(EventLoop.nowNanos());
    }

    /** True while what was chosen as the primary may still be asked and believed. */
    boolean stands(Placement placement) {
        long now = EventLoop.nowNanos();
        if (!placement.primary()) {
            return directory.leased(now);
        }
        return directory.stillPrimary(
                placement.group().id(),
                placement.group().term(),
                placement.pool().target().endpoint(),
                now);
    }

    /** True once what was chosen as the primary no longer leads. */
    boolean replaced(Placement placement) {
        Group now = directory.configuration().group(placement.group().id());
        return placement.primary()
                && (now.term() != placement.group().term()
                        || !placement.pool().target().endpoint().equals(now.primary()));
    }

    /** Takes what a reply says of positions. */
    void learn(Placement placement, EndpointReply reply, long askedNanos) {
        if (placement.primary() && reply.position() != null && stands(placement)) {
            pools.samples(placement.group().id()).add(askedNanos, reply.position());
        }
    }

    /** The proxy's own name of a prepared statement, the same on all connections. */
    String nameOf(Prepared prepared) {
        if (names.size() >= NAMES_KEPT) {
            names.clear();
        }
        return names.computeIfAbsent(prepared, key -> "c" + ++namesMade);
    }

    void started(Attempt attempt) {
        attempts.add(attempt);
    }

    void finished(Attempt attempt) {
        attempts.remove(attempt);
    }

    void later(long millis, Runnable action) {
        loop.vertx().setTimer(millis, ignored -> action.run());
    }

    /** Lets open attempts look at their time limits and at what has changed. */
    public void tick() {
        long now = EventLoop.nowNanos();
        List<Attempt> open = new ArrayList<>(attempts);
        open.forEach(attempt -> attempt.tick(now));
    }

    /**
     * Tells whether statements are open at a primary that answers.
     *
     * @param group the group
     * @param nowNanos the time
     * @return true when a fence should wait for them
     */
    public boolean awaitsPrimary(GroupId group, long nowNanos) {
        return attempts.stream().anyMatch(attempt -> attempt.openAtPrimary(group, nowNanos));
    }

    Placement place(
            Route route, boolean atPrimary, TermPosition floor, Set<EndpointId> passedOver) {
        return atPrimary ? placer.primary(route) : placer.read(route, floor, passedOver);
    }
}
