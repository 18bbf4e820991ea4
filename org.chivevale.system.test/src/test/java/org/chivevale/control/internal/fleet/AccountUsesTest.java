package org.chivevale.control.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.chivevale.wire.proto.AccountUse;
import org.junit.jupiter.api.Test;

/**
 * Guards against usage that is counted twice or lost when proxies restart, and against counters
 * that are kept for every incarnation that a proxy ever had.
 */
class AccountUsesTest {
    private static final String ACCOUNT = "workshop";

    private final AccountUses uses = new AccountUses();

    private void report(String proxy, long incarnation, long served) {
        uses.report(
                proxy,
                incarnation,
                List.of(
                        AccountUse.newBuilder()
                                .setAccountId(ACCOUNT)
                                .setServed(served)
                                .setReads(served)
                                .build()));
    }

    private long served() {
        return uses.sums().get(ACCOUNT).getServed();
    }

    @Test
    void aRepeatedReportReplacesTheEarlierOne() {
        report("proxy-1", 1, 5);
        report("proxy-1", 1, 8);
        report("proxy-2", 1, 1);
        assertEquals(9, served());
    }

    @Test
    void whatAnEarlierIncarnationServedStaysInTheSums() {
        for (long incarnation = 1; incarnation <= 100; incarnation++) {
            report("proxy-1", incarnation, 2);
        }
        assertEquals(200, served());
        assertEquals(200, uses.sums().get(ACCOUNT).getReads());
    }

    @Test
    void aLateReportOfAnEarlierIncarnationIsNotCounted() {
        report("proxy-1", 2, 3);
        report("proxy-1", 1, 50);
        assertEquals(3, served());
    }
}
