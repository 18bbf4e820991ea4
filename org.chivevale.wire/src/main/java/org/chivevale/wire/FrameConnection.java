package org.chivevale.wire;

import io.netty.channel.Channel;
import org.chivevale.wire.proto.Frame;

/**
 * One open connection to another process.
 *
 * <p>Thread safety: {@link #send} may be called from any thread; frames of one thread keep their
 * order.
 */
public final class FrameConnection {
    private final Channel channel;

    FrameConnection(Channel channel) {
        this.channel = channel;
    }

    /**
     * Queues a frame; it is dropped when the connection is closed.
     *
     * @param frame what to send
     */
    public void send(Frame frame) {
        channel.writeAndFlush(frame);
    }

    /** Closes the connection; frames not yet written are lost. */
    public void close() {
        channel.close();
    }

    /**
     * Tells whether the connection still stands.
     *
     * @return false once either side has closed it
     */
    public boolean isOpen() {
        return channel.isActive();
    }
}
