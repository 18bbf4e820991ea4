package org.chivevale.core.util;

import java.util.regex.Pattern;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * Validates names from external input.
 *
 * <p>Stateless and thread safe.
 */
public final class Checks {
    private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9_-]{0,47}");

    private Checks() {}

    /**
     * Checks a name: a lower-case letter, then up to 47 letters, digits, '_' or '-'.
     *
     * @param kind the kind of the named object, for the error message
     * @param value the name
     * @return the same name
     * @throws ChivevaleException with MALFORMED_REQUEST when it is not a name
     */
    public static String name(String kind, String value) {
        if (value == null || !NAME.matcher(value).matches()) {
            throw new ChivevaleException(
                    ResultCode.MALFORMED_REQUEST,
                    kind + " '" + value + "' must match " + NAME.pattern());
        }
        return value;
    }
}
