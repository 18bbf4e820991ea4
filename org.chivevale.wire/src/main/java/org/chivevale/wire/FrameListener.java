package org.chivevale.wire;

import org.chivevale.wire.proto.Frame;

/**
 * Receives what happens on connections.
 *
 * <p>Thread safety: called on the I/O thread of the connection; calls for one connection do not
 * overlap.
 */
public interface FrameListener {
    /**
     * Handles one frame.
     *
     * @param connection where it came from
     * @param frame what came
     */
    void received(FrameConnection connection, Frame frame);

    /**
     * Handles the end of a connection.
     *
     * @param connection the connection that is no longer usable
     */
    default void closed(FrameConnection connection) {}
}
