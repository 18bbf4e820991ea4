package org.chivevale.load.deployment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.chivevale.core.settings.HostPort;

/**
 * Finds free ports on the loopback interface.
 *
 * <p>Ports are chosen below the ephemeral range, so that no outgoing connection takes one before
 * the process that is to listen on it has bound it. Thread safe.
 */
public final class FreePorts {
    private static final int FIRST = 12_000;
    private static final int LAST = 31_000;
    private static final Set<Integer> ISSUED = new HashSet<>();
    private static int next = FIRST + (int) (ProcessHandle.current().pid() * 97 % (LAST - FIRST));

    private FreePorts() {}

    /**
     * Finds a free port that this process has not returned before.
     *
     * @return an address on loopback
     */
    public static synchronized HostPort next() {
        while (true) {
            next = next >= LAST ? FIRST : next + 1;
            if (ISSUED.add(next) && isFree(next)) {
                return new HostPort("127.0.0.1", next);
            }
            if (ISSUED.size() > LAST - FIRST) {
                throw new IllegalStateException("no free port between " + FIRST + " and " + LAST);
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (java.net.BindException e) {
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
