package org.chivevale.proxy.internal.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.settings.HostPort;
import org.jboss.logging.Logger;

/**
 * The addresses at which to try control: the last known leader, the members it listed, the seeds.
 *
 * <p>A leader that has not responded is not tried again for some time, though other processes name
 * it until they have elected another one. Not thread safe.
 */
final class ControlAddresses {
    private static final Logger LOG = Logger.getLogger(ControlAddresses.class);

    /** Longer than the other processes take to notice that a leader is gone and to elect one. */
    private static final long SILENCE_NANOS = 1_500_000_000L;

    private List<HostPort> seeds;
    private final List<HostPort> members = new ArrayList<>();
    private HostPort leader;
    private HostPort silent;
    private long silentUntilNanos;
    private int nextIndex;

    ControlAddresses(List<HostPort> seeds) {
        this.seeds = List.copyOf(seeds);
    }

    /** Replaces the seeds, as after a reload of the settings. */
    void setSeeds(List<HostPort> changed) {
        seeds = List.copyOf(changed);
    }

    /**
     * Returns the address to try next; that of a silent process only if there is no other. Null
     * while none is known.
     */
    HostPort next(long nowNanos) {
        if (leader != null) {
            HostPort target = leader;
            leader = null;
            return target;
        }
        LinkedHashSet<HostPort> all = new LinkedHashSet<>(members);
        all.addAll(seeds);
        List<HostPort> known = new ArrayList<>(all);
        if (known.isEmpty()) {
            return null;
        }
        HostPort next = known.get(nextIndex % known.size());
        if (known.size() > 1 && isSilent(next, nowNanos)) {
            advance();
            next = known.get(nextIndex % known.size());
        }
        return next;
    }

    /** Moves on to the next address after a failure. */
    void advance() {
        nextIndex = (nextIndex + 1) & Integer.MAX_VALUE;
    }

    /** Records that the process at an address has not responded. */
    void markSilent(HostPort address, long nowNanos) {
        silent = address;
        silentUntilNanos = nowNanos + SILENCE_NANOS;
    }

    /**
     * Sets the leader's address, as returned by a process that is not the leader; may be empty.
     * Ignored while it is known not to respond.
     */
    void setLeader(String address, long nowNanos) {
        HostPort named = address.isEmpty() ? null : parse(address);
        leader = isSilent(named, nowNanos) ? null : named;
    }

    private boolean isSilent(HostPort address, long nowNanos) {
        return address != null && address.equals(silent) && nowNanos - silentUntilNanos < 0;
    }

    /** Tells whether the next address is that of a leader that has not been tried. */
    boolean hasLeader() {
        return leader != null;
    }

    /** Replaces the members by those that a leader returned, its own address first. */
    void setMembers(List<String> addresses) {
        if (addresses.isEmpty()) {
            return;
        }
        members.clear();
        nextIndex = 0;
        for (String address : addresses) {
            HostPort parsed = parse(address);
            if (parsed != null) {
                members.add(parsed);
            }
        }
    }

    private static HostPort parse(String address) {
        try {
            return HostPort.parse(address);
        } catch (ChivevaleException e) {
            LOG.warnf("control returned an invalid address: %s", e.getMessage());
            return null;
        }
    }
}
