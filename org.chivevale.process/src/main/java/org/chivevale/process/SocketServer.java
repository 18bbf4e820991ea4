package org.chivevale.process;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Accepts the connections of a listening socket on the event loop.
 *
 * <p>Invariant: every connection that the kernel has completed before {@link #close} is accepted.
 * Vert.x' own server resets connections that it accepts while it closes, since it removes their
 * event loop before it closes the listener. Channels are confined to the event loop.
 */
public final class SocketServer {
    private static final Logger LOG = Logger.getLogger(SocketServer.class);

    /** Delay after which the selector has dropped a channel that was deregistered. */
    private static final long SELECTION_MILLIS = 2;

    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final ListenSocket socket;
    private final Channel listener;

    private SocketServer(ListenSocket socket, Channel listener) {
        this.socket = socket;
        this.listener = listener;
    }

    /**
     * Starts to accept connections; must not be called on the event loop.
     *
     * @param loop the event loop
     * @param socket the bound socket, which this server owns from now on
     * @param onAccepted adds handlers to the pipeline of each connection, on the event loop
     * @return the server
     */
    public static SocketServer start(
            EventLoop loop, ListenSocket socket, Consumer<SocketChannel> onAccepted) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop.nettyLoop())
                        .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel accepted) {
                                        onAccepted.accept(accepted);
                                    }
                                });
        Channel listener = bootstrap.register().syncUninterruptibly().channel();
        return new SocketServer(socket, listener);
    }

    /**
     * Accepts what waits and closes the listener; must not be called on the event loop.
     *
     * <p>The listener leaves the selector first: the JDK closes a socket that is registered only at
     * the next selection, and the kernel would complete connections until then that nobody accepts.
     */
    public void close() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        listener.deregister()
                .addListener(
                        deregistered ->
                                listener.eventLoop()
                                        .schedule(
                                                () -> acceptPendingAndClose(done),
                                                SELECTION_MILLIS,
                                                TimeUnit.MILLISECONDS));
        try {
            done.get(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warnf("the listener at %s did not close: %s", socket.address(), e);
        }
    }

    private void acceptPendingAndClose(CompletableFuture<Void> done) {
        acceptPending();
        listener.close().addListener(closed -> done.complete(null));
    }

    private void acceptPending() {
        try {
            java.nio.channels.SocketChannel accepted = socket.channel().accept();
            while (accepted != null) {
                listener.pipeline().fireChannelRead(new NioSocketChannel(listener, accepted));
                accepted = socket.channel().accept();
            }
        } catch (IOException e) {
            LOG.warnf("cannot accept the last connections at %s: %s", socket.address(), e);
        }
    }
}
