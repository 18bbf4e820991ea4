package org.chivevale.core.request;

import java.util.UUID;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Creates and checks request ids.
 *
 * <p>Format: UUID version 7 of RFC 9562, whose first 48 bits are the Unix time in milliseconds.
 * Invariant: ids are accepted for one window and kept for two, so a purged id is never accepted
 * again while the clocks of VMs differ by less than a window. Stateless and thread safe.
 */
public final class RequestIds {
    /** Maximum age of an accepted id by this VM's clock. */
    public static final long WINDOW_MILLIS = 3_600_000;

    private static final long MAX_AHEAD_MILLIS = 300_000;
    private static final int VERSION = 7;
    private static final int TIME_SHIFT = 16;
    private static final int TEXT_CHARS = 36;

    private RequestIds() {}

    /**
     * Returns the creation time of an id.
     *
     * @param text the id as the caller sent it
     * @param nowUnixMillis the wall-clock time
     * @return the Unix time in the id, in milliseconds
     * @throws ChivevaleException with REQUEST_ID_INVALID or REQUEST_ID_EXPIRED
     */
    public static long createdUnixMillis(String text, long nowUnixMillis) {
        long created = parse(text);
        if (created < nowUnixMillis - WINDOW_MILLIS || created > nowUnixMillis + MAX_AHEAD_MILLIS) {
            throw new ChivevaleException(
                    ResultCode.REQUEST_ID_EXPIRED,
                    "request id " + text + " is outside the accepted time window");
        }
        return created;
    }

    private static long parse(String text) {
        try {
            UUID id = UUID.fromString(text);
            if (text.length() == TEXT_CHARS && id.version() == VERSION) {
                return id.getMostSignificantBits() >>> TIME_SHIFT;
            }
        } catch (IllegalArgumentException e) {
            throw invalid();
        }
        throw invalid();
    }

    private static ChivevaleException invalid() {
        return new ChivevaleException(
                ResultCode.REQUEST_ID_INVALID, "the request id is not a UUID of version 7");
    }

    /**
     * Creates an id.
     *
     * @param unixMillis its creation time
     * @param randomHigh random bits, of which 12 are used
     * @param randomLow random bits, of which 62 are used
     * @return the id
     */
    public static String make(long unixMillis, long randomHigh, long randomLow) {
        long high = unixMillis << TIME_SHIFT | (long) VERSION << 12 | randomHigh & 0xFFF;
        long low = randomLow & 0x3FFFFFFFFFFFFFFFL | 0x8000000000000000L;
        return new UUID(high, low).toString();
    }
}
