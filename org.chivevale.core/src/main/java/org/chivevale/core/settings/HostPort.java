package org.chivevale.core.settings;

import java.util.regex.Pattern;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ResultCode;

/**
 * An IP address and a port.
 *
 * <p>Immutable.
 *
 * @param host the IP address
 * @param port the port
 */
public record HostPort(String host, int port) {
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern IP =
            Pattern.compile("(" + OCTET + "\\.){3}" + OCTET + "|[0-9a-fA-F:]{2,39}");
    private static final int MAX_PORT = 65535;

    /**
     * Parses {@code IP:PORT}.
     *
     * @param text the text
     * @return the address
     * @throws ChivevaleException with SETTINGS_INVALID when it is something else
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, colon);
            int port = Integer.parseInt(text.substring(colon + 1));
            if (IP.matcher(host).matches() && port >= 0 && port <= MAX_PORT) {
                return new HostPort(host, port);
            }
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            throw invalid(text);
        }
        throw invalid(text);
    }

    private static ChivevaleException invalid(String text) {
        return new ChivevaleException(
                ResultCode.SETTINGS_INVALID, "address '" + text + "' is not IP:PORT");
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
