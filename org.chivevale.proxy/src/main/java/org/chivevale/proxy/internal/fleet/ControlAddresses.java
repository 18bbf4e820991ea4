package org.chivevale.proxy.internal.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.settings.HostPort;
import org.jboss.logging.Logger;

/**
 * Where control may be: the leader that was named last, the members that it named, the seeds.
 *
 * <p>Not thread safe.
 */
final class ControlAddresses {
    private static final Logger LOG = Logger.getLogger(ControlAddresses.class);

    private List<HostPort> seeds;
    private final List<HostPort> members = new ArrayList<>();
    private HostPort leader;
    private int turn;

    ControlAddresses(List<HostPort> seeds) {
        this.seeds = List.copyOf(seeds);
    }

    /** Takes other seeds, as after a change of the settings. */
    void seeds(List<HostPort> changed) {
        seeds = List.copyOf(changed);
    }

    /** The address to try next. */
    HostPort next() {
        if (leader != null) {
            HostPort target = leader;
            leader = null;
            return target;
        }
        LinkedHashSet<HostPort> all = new LinkedHashSet<>(members);
        all.addAll(seeds);
        List<HostPort> known = new ArrayList<>(all);
        return known.get(turn % known.size());
    }

    /** Notes that the last address did not help. */
    void failed() {
        turn = (turn + 1) & Integer.MAX_VALUE;
    }

    /** Takes the name of the leader from a process that does not lead; may be empty. */
    void leads(String address) {
        leader = address.isEmpty() ? null : parse(address);
    }

    /** Takes the addresses that a leader has named, its own first. */
    void members(List<String> addresses) {
        if (addresses.isEmpty()) {
            return;
        }
        members.clear();
        turn = 0;
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
            LOG.warnf("control named an address that cannot be used: %s", e.getMessage());
            return null;
        }
    }
}
