package org.chivevale.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Listens for connections of other processes.
 *
 * <p>Thread safety: start and close are called by one thread; the listener runs on the I/O thread.
 */
public final class FrameServer implements AutoCloseable {
    private static final long STOP_MILLIS = 500;

    private final EventLoopGroup loops;
    private final Channel channel;

    /**
     * Starts to listen.
     *
     * @param host address to bind
     * @param port port to bind, 0 for a free one
     * @param listener receives frames
     */
    public FrameServer(String host, int port, FrameListener listener) {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel child) {
                                        FrameCodec.addTo(child.pipeline());
                                        child.pipeline().addLast(new FrameHandler(listener));
                                    }
                                });
        channel = bootstrap.bind(host, port).syncUninterruptibly().channel();
    }

    /**
     * Returns the port in use.
     *
     * @return the bound port
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Returns once nothing listens any more, so that the port may be used anew. */
    @Override
    public void close() {
        channel.close().syncUninterruptibly();
        loops.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
