package org.chivevale.proxy.internal.session;

import java.util.HashMap;
import java.util.Map;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.config.Database;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.TermPosition;
import org.chivevale.wire.proto.AcknowledgedPosition;
import org.chivevale.wire.proto.RenewRequest;

/**
 * The highest position of each group at which this proxy acknowledged a commit to a caller.
 *
 * <p>Control is told of it for databases whose commits replicas acknowledge, so that it does not
 * promote a member that lacks one. Invariant: the renewal that acknowledges a fence names all that
 * was acknowledged before it. Used on the event loop.
 */
final class AcknowledgedPositions {
    private final Map<GroupId, TermPosition> highest = new HashMap<>();

    /** Records that a commit is acknowledged; null when the endpoint did not say its position. */
    void record(GroupId group, TermPosition position) {
        if (position != null) {
            highest.merge(group, position, TermPosition::max);
        }
    }

    void addTo(RenewRequest.Builder request, Configuration configuration) {
        highest.forEach(
                (group, position) -> {
                    Database database = configuration.database(group.database());
                    if (database != null && database.isCoverageRequired()) {
                        request.addAcknowledgedPositions(
                                AcknowledgedPosition.newBuilder()
                                        .setGroupId(group.toString())
                                        .setTerm(position.term())
                                        .setNumber(position.number()));
                    }
                });
    }
}
