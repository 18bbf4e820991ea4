package org.chivevale.core.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.config.Evacuation;
import org.chivevale.core.config.Group;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.wire.proto.EndpointMember;

/**
 * Decides which endpoints may get work while data centres are evacuated and after they are
 * restored.
 *
 * <p>Invariants: an endpoint in an evacuated data centre gets no new work; one whose data centre is
 * not known gets none while any data centre is evacuated; one that is cold gets none if its
 * database has no warm-up rate. A transaction that is open there may continue for {@link
 * #TRANSACTION_NANOS}. The data centre of a primary is remembered when it is missing from a newer
 * list of members. Not thread safe.
 */
public final class EndpointAvailability {
    /**
     * How long an open transaction may continue at an endpoint after the evacuation was learned.
     *
     * <p>Together with a fleet lease of 2.5 s this keeps within the 5 s after which no request may
     * be sent to the data centre.
     */
    public static final long TRANSACTION_NANOS = 2_000_000_000L;

    /** Whether an endpoint may get work. */
    private enum State {
        OPEN,
        EVACUATED,
        COLD,
        UNPLACED
    }

    private final Configuration configuration;
    private final Map<String, EndpointMember> members = new HashMap<>();
    private final Map<String, Long> evacuatedSinceNanos = new HashMap<>();
    private boolean hasColdMembers;

    /**
     * Creates the decision for a process.
     *
     * @param configuration the configuration in force, which contains the evacuations
     */
    public EndpointAvailability(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Replaces the members; a primary that the list lacks keeps its last data centre.
     *
     * @param newest all members of all groups
     */
    public void setMembers(Collection<EndpointMember> newest) {
        Set<String> listed = new HashSet<>();
        hasColdMembers = false;
        for (EndpointMember member : newest) {
            String key = member.getGroupId() + "/" + member.getEndpointId();
            listed.add(key);
            members.put(key, member);
            hasColdMembers |= member.getCold();
        }
        for (Group group : configuration.groups()) {
            if (group.primary() != null) {
                listed.add(group.id() + "/" + group.primary());
            }
        }
        members.keySet().retainAll(listed);
    }

    /**
     * Records which evacuations this process has learned of and when.
     *
     * @param learnedAtNanos the monotonic time from which new evacuations count for open
     *     transactions
     */
    public void onConfigurationChange(long learnedAtNanos) {
        evacuatedSinceNanos.keySet().removeIf(dataCenter -> !configuration.isEvacuated(dataCenter));
        for (Evacuation evacuation : configuration.evacuations()) {
            evacuatedSinceNanos.putIfAbsent(evacuation.dataCenter(), learnedAtNanos);
        }
    }

    private State state(GroupId group, EndpointId endpoint) {
        if (evacuatedSinceNanos.isEmpty() && !hasColdMembers) {
            return State.OPEN;
        }
        EndpointMember member = members.get(group + "/" + endpoint);
        if (member == null) {
            return evacuatedSinceNanos.isEmpty() ? State.OPEN : State.UNPLACED;
        }
        if (evacuatedSinceNanos.containsKey(member.getDataCenter())) {
            return State.EVACUATED;
        }
        return isExcludedAsCold(group, member) ? State.COLD : State.OPEN;
    }

    /** Returns whether a cold endpoint gets nothing, since no rate limits what it would get. */
    private boolean isExcludedAsCold(GroupId group, EndpointMember member) {
        Database database = configuration.database(group.database());
        return member.getCold() && (database == null || database.warmupRatePerSecond() == 0);
    }

    /**
     * Tells whether an endpoint may get new work.
     *
     * @param group the group
     * @param endpoint the endpoint
     * @return false while its data centre is evacuated or not known, and while it is cold
     */
    public boolean isOpen(GroupId group, EndpointId endpoint) {
        return state(group, endpoint) == State.OPEN;
    }

    /**
     * Tells whether a transaction that is open at an endpoint may send its next statement.
     *
     * @param group the group
     * @param endpoint the endpoint
     * @param nowNanos the monotonic time
     * @return false once {@link #TRANSACTION_NANOS} have passed since the evacuation was learned,
     *     and while the endpoint is cold
     */
    public boolean mayContinue(GroupId group, EndpointId endpoint, long nowNanos) {
        return switch (state(group, endpoint)) {
            case OPEN -> true;
            case COLD -> false;
            case EVACUATED, UNPLACED -> nowNanos - sinceNanos(group, endpoint) < TRANSACTION_NANOS;
        };
    }

    private long sinceNanos(GroupId group, EndpointId endpoint) {
        EndpointMember member = members.get(group + "/" + endpoint);
        Long since = member == null ? null : evacuatedSinceNanos.get(member.getDataCenter());
        return since != null
                ? since
                : evacuatedSinceNanos.values().stream()
                        .reduce((one, other) -> one - other < 0 ? one : other)
                        .orElseThrow();
    }

    /**
     * Explains why an endpoint gets no new work.
     *
     * @param group the group
     * @param endpoint the endpoint
     * @return the reason; empty when it may get work
     */
    public String reason(GroupId group, EndpointId endpoint) {
        return switch (state(group, endpoint)) {
            case OPEN -> "";
            case EVACUATED ->
                    "data centre "
                            + members.get(group + "/" + endpoint).getDataCenter()
                            + " of endpoint "
                            + endpoint
                            + " is evacuated";
            case COLD -> "endpoint " + endpoint + " has not announced itself as warm";
            case UNPLACED -> "the data centre of endpoint " + endpoint + " is not known";
        };
    }

    /**
     * Returns why a request for a group is to be rejected at once, rather than wait for an
     * endpoint.
     *
     * <p>A request waits while a live member outside evacuated data centres exists, since that
     * member can become available or the group's primary.
     *
     * @param group the group
     * @param listed the members of the group in the newest list
     * @return the reason; null when the request may wait
     */
    public String rejection(GroupId group, List<EndpointMember> listed) {
        Set<String> evacuated = new TreeSet<>();
        for (EndpointMember member : listed) {
            if (evacuatedSinceNanos.containsKey(member.getDataCenter())) {
                evacuated.add(member.getDataCenter());
            } else if (!member.getLeaving()) {
                return null;
            }
        }
        return evacuated.isEmpty()
                ? null
                : "group "
                        + group
                        + " has no live member outside the evacuated data centres "
                        + String.join(", ", evacuated);
    }
}
