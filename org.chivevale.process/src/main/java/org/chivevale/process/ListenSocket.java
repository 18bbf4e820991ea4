package org.chivevale.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.UnresolvedAddressException;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.errors.ListenErrors;
import org.chivevale.core.errors.ResultCode;
import org.chivevale.core.settings.HostPort;

/**
 * A bound listening socket, whose connections wait in the kernel until they are accepted.
 *
 * <p>Uses classes of the JDK only, so that a process can bind it before it loads its libraries:
 * callers that connect during a start then wait instead of being refused. Not thread safe.
 */
public final class ListenSocket {
    private static final int ACCEPT_BACKLOG = 1024;

    private final HostPort address;
    private final ServerSocketChannel channel;

    private ListenSocket(HostPort address, ServerSocketChannel channel) {
        this.address = address;
        this.channel = channel;
    }

    /**
     * Binds an address.
     *
     * @param address the address to listen on
     * @return the bound socket
     * @throws ChivevaleException with {@link ResultCode#ADDRESS_UNAVAILABLE} when it cannot be
     *     bound
     */
    public static ListenSocket bind(HostPort address) {
        try {
            ServerSocketChannel channel = ServerSocketChannel.open();
            ListenSocket socket = new ListenSocket(address, channel);
            socket.bind();
            return socket;
        } catch (IOException e) {
            throw ListenErrors.cannotListen(address, e);
        }
    }

    private void bind() throws IOException {
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(new InetSocketAddress(address.host(), address.port()), ACCEPT_BACKLOG);
        } catch (IOException e) {
            channel.close();
            throw e;
        } catch (UnresolvedAddressException e) {
            channel.close();
            throw ListenErrors.cannotListen(address, e);
        }
    }

    /**
     * Returns the address.
     *
     * @return the address that was bound
     */
    public HostPort address() {
        return address;
    }

    /**
     * Returns whether the socket has not been closed.
     *
     * @return false after {@link #close}, also by the server that owned it
     */
    public boolean isOpen() {
        return channel.isOpen();
    }

    ServerSocketChannel channel() {
        return channel;
    }

    /** Closes the socket; connections that were not accepted are reset. */
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            throw new ChivevaleException(
                    ResultCode.INTERNAL, "cannot close " + address + ": " + e.getMessage());
        }
    }
}
