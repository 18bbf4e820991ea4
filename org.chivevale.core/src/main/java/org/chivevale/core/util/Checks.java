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
    /** Maximum length of a name that another system gives, in UTF-16 code units. */
    public static final int MAX_EXTERNAL_NAME_CHARS = 1024;

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

    /**
     * Checks a name that another system gives: 1 to {@value #MAX_EXTERNAL_NAME_CHARS} UTF-16 code
     * units without whitespace, control characters and unpaired surrogates.
     *
     * @param kind the kind of the named object, for the error message
     * @param value the name
     * @return the same name
     * @throws ChivevaleException with MALFORMED_REQUEST when it is not such a name
     */
    public static String externalName(String kind, String value) {
        boolean isName =
                value != null
                        && !value.isEmpty()
                        && value.length() <= MAX_EXTERNAL_NAME_CHARS
                        && value.codePoints().allMatch(Checks::isVisible);
        if (!isName) {
            throw new ChivevaleException(
                    ResultCode.MALFORMED_REQUEST,
                    kind
                            + " must be 1 to "
                            + MAX_EXTERNAL_NAME_CHARS
                            + " characters without whitespace and control characters");
        }
        return value;
    }

    private static boolean isVisible(int character) {
        return !Character.isWhitespace(character)
                && !Character.isSpaceChar(character)
                && isStorable(character);
    }

    /**
     * Tells whether a character can be stored and sent within a line of text.
     *
     * @param character a code point
     * @return false for a control character and for an unpaired surrogate, which UTF-8 cannot
     *     encode
     */
    public static boolean isStorable(int character) {
        return !Character.isISOControl(character)
                && Character.getType(character) != Character.SURROGATE;
    }
}
