package org.chivevale.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Accepts connections from other processes.
 *
 * <p>Thread safety: start and close are called by one thread; the listener runs on the I/O thread.
 */
public final class FrameServer implements AutoCloseable {
    private static final long STOP_TIMEOUT_MILLIS = 500;

    private final EventLoopGroup ioLoops;
    private final Channel channel;
    private final ChannelGroup accepted =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

    /**
     * Binds the port and starts accepting connections.
     *
     * @param host address to bind
     * @param port port to bind, 0 for a free one
     * @param listener receives the frames of all connections
     * @throws UncheckedIOException when the port cannot be bound
     */
    public FrameServer(String host, int port, FrameListener listener) {
        ioLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(ioLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel child) {
                                        accepted.add(child);
                                        FrameCodec.addTo(child.pipeline());
                                        child.pipeline().addLast(new FrameHandler(listener));
                                    }
                                });
        ChannelFuture bound = bootstrap.bind(host, port).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            stopLoops();
            throw new UncheckedIOException(asIoException(bound.cause()));
        }
        channel = bound.channel();
    }

    private static IOException asIoException(Throwable cause) {
        return cause instanceof IOException known ? known : new IOException(cause);
    }

    private void stopLoops() {
        ioLoops.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    /**
     * Returns the bound port.
     *
     * @return the port, also when 0 was given
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Closes the server and its connections; the port is free for reuse when this returns.
     *
     * <p>The connections are closed while the I/O thread still runs: those that its end closes stay
     * open for the peers.
     */
    @Override
    public void close() {
        channel.close().syncUninterruptibly();
        accepted.close().awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
        stopLoops();
    }
}
