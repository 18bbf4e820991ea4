package org.chivevale.proxy.internal.relay;

import java.util.function.Consumer;
import org.chivevale.core.settings.HostPort;
import org.chivevale.wire.proto.Frame;

/**
 * Opens the links to connection hosts.
 *
 * <p>Used on the event loop; so are its callbacks.
 */
public interface RelayTransport {
    /** An open link. */
    interface Channel {
        /**
         * Writes a frame; it is dropped when the link has just closed.
         *
         * @param frame the frame
         */
        void send(Frame frame);

        /**
         * Tells whether the link is open.
         *
         * @return false once either side has closed it
         */
        boolean isOpen();

        /** Closes the link. */
        void close();
    }

    /**
     * Connects to a host.
     *
     * @param address the host's address
     * @param received receives the frames of the link
     * @param closed runs when the link has closed; not after a failed attempt
     * @param connected receives the link, or null when the attempt failed
     */
    void connect(
            HostPort address,
            Consumer<Frame> received,
            Runnable closed,
            Consumer<Channel> connected);

    /** Closes all links. */
    void close();
}
