package org.chivevale.control.internal.failover;

import java.util.List;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Group;
import org.chivevale.core.failover.FailoverAction;
import org.chivevale.core.failover.FailoverPhase;
import org.chivevale.core.group.EndpointId;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.FailoverStep;
import org.chivevale.wire.proto.GroupState;

/**
 * Builds the configuration changes for the steps of a failover or switchover.
 *
 * <p>The methods that continue a step return no changes if the log holds another step by then.
 * Stateless and thread safe.
 */
public final class FailoverChanges {
    private FailoverChanges() {}

    /**
     * Fences the primary of a group.
     *
     * @param group the group with its current primary
     * @param reason why the primary is replaced
     * @param planned true for a switchover, false for a failover
     * @return the changes
     */
    public static List<Change> fence(Group group, String reason, boolean planned) {
        return fence(group, reason, planned, "", FailoverPhase.FENCING);
    }

    /**
     * Fences the primary of a group, with a preferred successor.
     *
     * @param group the group with its current primary, if it has one
     * @param reason why the primary is replaced
     * @param planned true for a switchover, false for a failover
     * @param preferred id of the endpoint to promote; empty for no preference
     * @param phase FENCING, or FENCING_WITH_LOSS if acknowledged writes may be lost
     * @return the changes
     */
    public static List<Change> fence(
            Group group, String reason, boolean planned, String preferred, FailoverPhase phase) {
        FailoverStep.Builder step =
                FailoverStep.newBuilder()
                        .setGroupId(group.id().toString())
                        .setFromTerm(group.term())
                        .setPhase(phase.name())
                        .setReason(reason)
                        .setPlanned(planned)
                        .setPreferredEndpointId(preferred);
        if (group.primary() != null) {
            step.setReplacedEndpointId(group.primary().value());
        }
        GroupState fenced =
                GroupState.newBuilder()
                        .setGroupId(group.id().toString())
                        .setTerm(group.term())
                        .build();
        return List.of(
                Change.newBuilder().setGroupState(fenced).build(),
                Change.newBuilder().setFailoverStep(step).build());
    }

    /** Fences the primary unless the group has changed or is being fenced already. */
    static List<Change> fenceIfUnchanged(
            Configuration now, Group group, FailoverAction.Fence fence) {
        boolean unchanged =
                now.group(group.id()).equals(group)
                        && !now.failovers().containsKey(group.id().toString());
        return unchanged ? fence(group, fence.reason(), fence.planned()) : List.of();
    }

    static List<Change> chooseCandidate(
            Configuration now, FailoverStep step, EndpointId candidate) {
        FailoverPhase phase = FailoverPhase.valueOf(step.getPhase());
        FailoverPhase next =
                phase.isLossAccepted()
                        ? FailoverPhase.PROMOTING_WITH_LOSS
                        : FailoverPhase.PROMOTING;
        return continueIfCurrent(
                now,
                step,
                step.toBuilder()
                        .setPhase(next.name())
                        .setCandidateEndpointId(candidate.value())
                        .build());
    }

    static List<Change> reconsider(Configuration now, FailoverStep step) {
        FailoverPhase phase = FailoverPhase.valueOf(step.getPhase());
        FailoverPhase next =
                phase.isLossAccepted() ? FailoverPhase.FENCING_WITH_LOSS : FailoverPhase.FENCING;
        return continueIfCurrent(
                now,
                step,
                step.toBuilder().setPhase(next.name()).setCandidateEndpointId("").build());
    }

    private static List<Change> continueIfCurrent(
            Configuration now, FailoverStep step, FailoverStep next) {
        return isCurrent(now, step)
                ? List.of(Change.newBuilder().setFailoverStep(next).build())
                : List.of();
    }

    private static boolean isCurrent(Configuration now, FailoverStep step) {
        return step.equals(now.failovers().get(step.getGroupId()));
    }

    static List<Change> reinstate(
            Configuration now, FailoverStep step, EndpointId primary, HostPort address) {
        long term = now.group(GroupId.parse(step.getGroupId())).term();
        return endFailover(now, step, primary, address, term, 0);
    }

    static List<Change> publishPrimary(
            Configuration now,
            FailoverStep step,
            FailoverAction.Publish publish,
            HostPort address) {
        return endFailover(
                now, step, publish.primary(), address, publish.term(), publish.startPosition());
    }

    private static List<Change> endFailover(
            Configuration now,
            FailoverStep step,
            EndpointId primary,
            HostPort address,
            long term,
            long startPosition) {
        if (!isCurrent(now, step)) {
            return List.of();
        }
        FailoverStep cleared = FailoverStep.newBuilder().setGroupId(step.getGroupId()).build();
        return List.of(
                primaryChange(step.getGroupId(), primary, address, term, startPosition),
                Change.newBuilder().setFailoverStep(cleared).build());
    }

    static Change primaryChange(
            String groupId, EndpointId primary, HostPort address, long term, long startPosition) {
        return Change.newBuilder()
                .setGroupState(
                        GroupState.newBuilder()
                                .setGroupId(groupId)
                                .setTerm(term)
                                .setPrimaryEndpointId(primary.value())
                                .setPrimaryHost(address.host())
                                .setPrimaryPort(address.port())
                                .setStartPosition(startPosition))
                .build();
    }
}
