package org.chivevale.process;

import java.io.UncheckedIOException;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ListenErrors;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.FrameListener;
import org.chivevale.wire.FrameServer;

/**
 * Opens servers for connections from other processes.
 *
 * <p>Stateless and thread safe.
 */
public final class FrameServers {
    private FrameServers() {}

    /**
     * Opens a server.
     *
     * @param listen address to bind
     * @param listener receives the frames of all connections
     * @return the server, which accepts connections
     * @throws ChivevaleException as of {@link ListenErrors} when the address cannot be bound
     */
    public static FrameServer open(HostPort listen, FrameListener listener) {
        try {
            return new FrameServer(listen.host(), listen.port(), listener);
        } catch (UncheckedIOException e) {
            throw ListenErrors.cannotListen(listen, e.getCause());
        }
    }
}
