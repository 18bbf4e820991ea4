package org.chivevale.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks how reads are distributed over members under load. */
class MemberChoiceTest {
    private static final int CONNECTIONS = 3;

    private static MemberView view(
            boolean primary, int distance, int pendingRequests, double millis, boolean avoided) {
        return new MemberView(
                primary, distance, pendingRequests, CONNECTIONS, millis, true, avoided);
    }

    @Test
    void noneIsChosenFromAnEmptyList() {
        assertEquals(MemberChoice.NONE, MemberChoice.choose(List.of()));
    }

    @Test
    void aNearReplicaIsPreferredToAFarOne() {
        assertEquals(
                1,
                MemberChoice.choose(
                        List.of(view(false, 2, 0, 20, false), view(false, 0, 0, 20, false))));
    }

    @Test
    void aFailingMemberIsAvoidedUnlessItIsTheOnlyOne() {
        MemberView failing = view(false, 0, 0, 20, true);
        assertEquals(1, MemberChoice.choose(List.of(failing, view(false, 2, 0, 20, false))));
        assertEquals(0, MemberChoice.choose(List.of(failing)));
    }

    @Test
    void aBurstSpreadsOverAllMembersAndLeavesCapacityAtThePrimary() {
        int[] pendingRequests = new int[3];
        for (int i = 0; i < 60; i++) {
            List<MemberView> views = new ArrayList<>();
            views.add(view(true, 2, pendingRequests[0], 20, false));
            views.add(view(false, 0, pendingRequests[1], 20, false));
            views.add(view(false, 2, pendingRequests[2], 20, false));
            pendingRequests[MemberChoice.choose(views)]++;
        }
        assertTrue(
                pendingRequests[1] > pendingRequests[2] && pendingRequests[2] > pendingRequests[0],
                "near first");
        assertTrue(pendingRequests[0] > 0 && pendingRequests[2] > 0, "no member idles in a burst");
    }

    @Test
    void aSlowMemberGetsFewerReadsThanAFastOne() {
        int[] pendingRequests = new int[2];
        for (int i = 0; i < 40; i++) {
            pendingRequests[
                    MemberChoice.choose(
                            List.of(
                                    view(false, 0, pendingRequests[0], 100, false),
                                    view(false, 0, pendingRequests[1], 20, false)))]++;
        }
        assertTrue(pendingRequests[1] > 3 * pendingRequests[0]);
    }
}
