package org.chivevale.wire;

import io.netty.channel.Channel;
import org.chivevale.wire.proto.Frame;

/**
 * A connection to another process.
 *
 * <p>Thread safety: {@link #send} may be called from any thread; frames sent by one thread arrive
 * in order.
 */
public final class FrameConnection {
    private final Channel channel;

    FrameConnection(Channel channel) {
        this.channel = channel;
    }

    /**
     * Queues a frame for sending; a frame queued on a closed connection is dropped.
     *
     * @param frame the frame to send
     */
    public void send(Frame frame) {
        channel.writeAndFlush(frame);
    }

    /** Closes the connection; frames not yet written are lost. */
    public void close() {
        channel.close();
    }

    /**
     * Returns whether the connection is open.
     *
     * @return false once either side has closed it
     */
    public boolean isOpen() {
        return channel.isActive();
    }
}
