package org.chivevale.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.chivevale.wire.proto.Frame;
import org.jboss.logging.Logger;

/**
 * Passes the frames of one channel to a listener.
 *
 * <p>Invariant: a frame that cannot be decoded closes the channel. Confined to the channel's I/O
 * thread.
 */
final class FrameHandler extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = Logger.getLogger(FrameHandler.class);

    private final FrameListener listener;
    private FrameConnection connection;

    FrameHandler(FrameListener listener) {
        super(Frame.class);
        this.listener = listener;
    }

    FrameConnection connection() {
        return connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        connection = new FrameConnection(context.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        listener.received(connection, frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.closed(connection);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debugf(
                "closing connection to %s: %s",
                context.channel().remoteAddress(), cause.toString());
        context.close();
    }
}
