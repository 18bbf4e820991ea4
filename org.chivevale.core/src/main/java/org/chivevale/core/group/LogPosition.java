package org.chivevale.core.group;

import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Parses and formats positions in a database's log.
 *
 * <p>Format: PostgreSQL's {@code pg_lsn}, two hexadecimal numbers with a slash, see "pg_lsn Type"
 * in the PostgreSQL documentation. Stateless and thread safe.
 */
public final class LogPosition {
    private static final int LOW_BITS = 32;
    private static final long LOW_MASK = 0xFFFFFFFFL;
    private static final int HEX = 16;

    private LogPosition() {}

    /**
     * Parses the text form.
     *
     * @param text such as {@code 0/16B3748}; null means the start of the log
     * @return the position, never negative
     * @throws ChivevaleException with INTERNAL when the endpoint sent something else
     */
    public static long parse(String text) {
        if (text == null) {
            return 0;
        }
        int slash = text.indexOf('/');
        try {
            long high = Long.parseLong(text.substring(0, slash), HEX);
            long low = Long.parseLong(text.substring(slash + 1), HEX);
            return high << LOW_BITS | low;
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            throw new ChivevaleException(
                    ResultCode.INTERNAL, "log position '" + text + "' is not a pg_lsn");
        }
    }

    /**
     * Formats a position.
     *
     * @param position the position
     * @return such as {@code 0/16B3748}
     */
    public static String format(long position) {
        return Long.toHexString(position >>> LOW_BITS).toUpperCase(java.util.Locale.ROOT)
                + "/"
                + Long.toHexString(position & LOW_MASK).toUpperCase(java.util.Locale.ROOT);
    }
}
