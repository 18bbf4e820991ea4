package org.chivevale.proxy.internal.session;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.chivevale.core.config.Configuration;
import org.chivevale.core.group.GroupId;
import org.chivevale.core.group.TermPosition;
import org.chivevale.wire.proto.AcknowledgedPosition;
import org.chivevale.wire.proto.Change;
import org.chivevale.wire.proto.DatabasePut;
import org.chivevale.wire.proto.LogEntry;
import org.chivevale.wire.proto.RenewRequest;
import org.junit.jupiter.api.Test;

/** Guards against a promotion that loses a write of which no proxy has told control. */
class AcknowledgedPositionsTest {
    private static final GroupId BY_REPLICA = new GroupId("orders", 0);
    private static final GroupId BY_PRIMARY = new GroupId("stock", 0);

    private final AcknowledgedPositions positions = new AcknowledgedPositions();
    private final Configuration configuration = new Configuration();

    private static Change database(GroupId group, boolean byReplica) {
        DatabasePut.Builder put =
                DatabasePut.newBuilder()
                        .setDatabase(group.database())
                        .setSlots(1)
                        .setEndpointsPerGroup(2)
                        .setAcknowledgeByQuorum(byReplica)
                        .setPromotionAnswers(byReplica ? 0 : 1);
        return Change.newBuilder().setDatabasePut(put).build();
    }

    private List<AcknowledgedPosition> reported() {
        RenewRequest.Builder request = RenewRequest.newBuilder();
        positions.addTo(request, configuration);
        return request.getAcknowledgedPositionsList();
    }

    @Test
    void theHighestPositionIsReportedWhereReplicasAcknowledge() {
        configuration.apply(
                LogEntry.newBuilder()
                        .setVersion(1)
                        .addChanges(database(BY_REPLICA, true))
                        .addChanges(database(BY_PRIMARY, false))
                        .build());
        assertEquals(List.of(), reported());
        positions.record(BY_REPLICA, new TermPosition(2, 9));
        positions.record(BY_REPLICA, new TermPosition(3, 4));
        positions.record(BY_REPLICA, new TermPosition(3, 2));
        positions.record(BY_REPLICA, null);
        positions.record(BY_PRIMARY, new TermPosition(1, 50));
        AcknowledgedPosition expected =
                AcknowledgedPosition.newBuilder()
                        .setGroupId(BY_REPLICA.toString())
                        .setTerm(3)
                        .setNumber(4)
                        .build();
        assertEquals(List.of(expected), reported());
        assertEquals(List.of(expected), reported());
    }

    @Test
    void aDatabaseThatIsNoLongerConfiguredIsNotReported() {
        positions.record(BY_REPLICA, new TermPosition(2, 9));
        assertEquals(List.of(), reported());
    }
}
