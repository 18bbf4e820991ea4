package org.chivevale.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.function.Consumer;

/**
 * Opens connections to other processes.
 *
 * <p>Thread safety: may be used from any thread; callbacks run on the I/O thread.
 */
public final class FrameClient implements AutoCloseable {
    private final int connectTimeoutMillis;

    /** Opened with the first connection, so that a client that is never used holds no files. */
    private EventLoopGroup ioLoops;

    /**
     * Creates a client; no connection is opened yet.
     *
     * @param connectTimeoutMillis timeout of each connection attempt
     */
    public FrameClient(int connectTimeoutMillis) {
        this.connectTimeoutMillis = connectTimeoutMillis;
    }

    /**
     * Connects to a server without blocking.
     *
     * @param host the server's address
     * @param port the server's port
     * @param listener receives frames and the end of the connection
     * @param connected receives the connection, or null when the attempt failed
     */
    public void connect(
            String host, int port, FrameListener listener, Consumer<FrameConnection> connected) {
        FrameHandler handler = new FrameHandler(listener);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(ioLoops())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        FrameCodec.addTo(channel.pipeline());
                                        channel.pipeline().addLast(handler);
                                    }
                                });
        bootstrap
                .connect(host, port)
                .addListener(
                        (ChannelFuture future) ->
                                connected.accept(future.isSuccess() ? handler.connection() : null));
    }

    private synchronized EventLoopGroup ioLoops() {
        if (ioLoops == null) {
            ioLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        }
        return ioLoops;
    }

    @Override
    public synchronized void close() {
        if (ioLoops != null) {
            ioLoops.shutdownGracefully();
        }
    }
}
