package org.chivevale.endpoint.internal.instance;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivevale.core.settings.HostPort;

/**
 * Parses host and port of a {@code primary_conninfo} setting.
 *
 * <p>Format: "Connection Strings" in the libpq chapter of the PostgreSQL documentation, keyword and
 * value form. Stateless and thread safe.
 */
final class Conninfo {
    private static final Pattern HOST = Pattern.compile("\\bhost=([^ ]+)");
    private static final Pattern PORT = Pattern.compile("\\bport=([0-9]+)");

    private Conninfo() {}

    static HostPort parse(String conninfo) {
        Matcher host = HOST.matcher(conninfo);
        Matcher port = PORT.matcher(conninfo);
        if (!host.find() || !port.find()) {
            return null;
        }
        return new HostPort(host.group(1), Integer.parseInt(port.group(1)));
    }
}
