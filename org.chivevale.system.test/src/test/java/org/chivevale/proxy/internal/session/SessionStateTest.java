package org.chivevale.proxy.internal.session;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.chivevale.core.config.AllowedRegions;
import org.chivevale.core.config.ReadPolicy;
import org.chivevale.core.config.Route;
import org.chivevale.core.group.TermPosition;
import org.junit.jupiter.api.Test;

/** Guards against reads that demand of a group's log a position of another group's log. */
class SessionStateTest {
    private static final TermPosition COMMITTED = new TermPosition(7, 1207);

    private final SessionState state = new SessionState();

    @Test
    void aRouteThatMovesToAnotherDatabaseDemandsNothingOfItsLog() {
        state.recordCommit(route("orders", "db1"), COMMITTED);
        assertEquals(TermPosition.NONE, state.lastCommit(route("orders", "db2")));
    }

    @Test
    void aRouteThatMovesBackDemandsTheCommitThatWasMadeThere() {
        state.recordCommit(route("orders", "db1"), COMMITTED);
        state.recordCommit(route("orders", "db2"), new TermPosition(9, 1));
        state.recordCommit(route("orders", "db1"), new TermPosition(7, 3));
        assertEquals(COMMITTED, state.lastCommit(route("renamed", "db1")));
    }

    private static Route route(String name, String database) {
        return new Route(
                name,
                name,
                "/",
                database,
                ReadPolicy.SESSION,
                1000,
                500,
                1,
                1500,
                false,
                AllowedRegions.ANY);
    }
}
