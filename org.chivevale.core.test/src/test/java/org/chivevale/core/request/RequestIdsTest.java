package org.chivevale.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;
import org.junit.jupiter.api.Test;

class RequestIdsTest {
    private static final long NOW_UNIX_MILLIS = 1_796_000_000_000L;

    @Property(seed = "20261204")
    void anIdCarriesItsTime(
            @ForAll @LongRange(min = -3_600_000, max = 300_000) long offsetMillis,
            @ForAll long high,
            @ForAll long low) {
        String id = RequestIds.make(NOW_UNIX_MILLIS + offsetMillis, high, low);
        assertEquals(
                NOW_UNIX_MILLIS + offsetMillis, RequestIds.createdUnixMillis(id, NOW_UNIX_MILLIS));
    }

    @Test
    void idsOutsideTheWindowAreRejected() {
        for (long offsetMillis : new long[] {-3_600_001, 300_001, -100_000_000}) {
            String id = RequestIds.make(NOW_UNIX_MILLIS + offsetMillis, 1, 2);
            ChivevaleException rejected =
                    assertThrows(
                            ChivevaleException.class,
                            () -> RequestIds.createdUnixMillis(id, NOW_UNIX_MILLIS));
            assertEquals(ResultCode.REQUEST_ID_EXPIRED, rejected.code());
        }
    }

    @Property(seed = "20261204")
    void textThatIsNotAnIdIsRejected(@ForAll String text) {
        ChivevaleException rejected =
                assertThrows(
                        ChivevaleException.class,
                        () -> RequestIds.createdUnixMillis(text, NOW_UNIX_MILLIS));
        assertEquals(ResultCode.REQUEST_ID_INVALID, rejected.code());
    }
}
