package org.chivevale.wire;

import org.chivevale.wire.proto.Frame;

/**
 * Receives the frames of connections and their end.
 *
 * <p>Thread safety: called on the I/O thread of the connection; calls for one connection do not
 * overlap.
 */
public interface FrameListener {
    /**
     * Handles one frame.
     *
     * @param connection the connection that the frame arrived on; responses go back on it
     * @param frame the decoded frame
     */
    void received(FrameConnection connection, Frame frame);

    /**
     * Handles the end of a connection.
     *
     * @param connection the closed connection; frames sent on it are dropped
     */
    default void closed(FrameConnection connection) {}
}
