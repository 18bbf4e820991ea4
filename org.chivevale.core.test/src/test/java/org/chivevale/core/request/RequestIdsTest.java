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
    private static final long NOW = 1_796_000_000_000L;

    @Property(seed = "20261204")
    void anIdCarriesItsTime(
            @ForAll @LongRange(min = -3_600_000, max = 300_000) long offset,
            @ForAll long high,
            @ForAll long low) {
        String id = RequestIds.make(NOW + offset, high, low);
        assertEquals(NOW + offset, RequestIds.createdUnixMillis(id, NOW));
    }

    @Test
    void idsOutsideTheWindowAreRefused() {
        for (long offset : new long[] {-3_600_001, 300_001, -100_000_000}) {
            String id = RequestIds.make(NOW + offset, 1, 2);
            ChivevaleException refused =
                    assertThrows(
                            ChivevaleException.class, () -> RequestIds.createdUnixMillis(id, NOW));
            assertEquals(ResultCode.REQUEST_ID_EXPIRED, refused.code());
        }
    }

    @Property(seed = "20261204")
    void otherTextsAreRefused(@ForAll String text) {
        ChivevaleException refused =
                assertThrows(
                        ChivevaleException.class, () -> RequestIds.createdUnixMillis(text, NOW));
        assertEquals(ResultCode.REQUEST_ID_INVALID, refused.code());
    }
}
