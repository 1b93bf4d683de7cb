package cinderhollow.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One listener for several event loops, on a loop of its own: each connection is handed to the loop that holds the
 * fewest and answers, as long as it has room. Guards against the uneven spread of a share of the listener for each loop
 * (the kernel deals connections by a hash), and against new clients waiting on a loop that stands still.
 */
public final class Acceptor {
    private static final long RECHECK_MILLIS = 20;

    private final EventLoop loop;
    private final List<ClientServer> servers;
    private NioServerSocketChannel listener = new NioServerSocketChannel();
    /** Others hold the listener too, and it stays open. */
    private boolean shared;
    private volatile boolean stopped;
    /** From now on nobody is given to any loop. */
    private volatile boolean done;
    private long accepted;

    /** Accepts on this loop for these, whose own loops are others. */
    public Acceptor(EventLoop loop, List<ClientServer> servers) {
        this.loop = loop;
        this.servers = List.copyOf(servers);
    }

    /** Starts to listen on the network; the future fails where the address can't be had. From any thread. */
    public ChannelFuture listen(SocketAddress address) {
        listener.config().setOption(ChannelOption.SO_BACKLOG, ClientServer.BACKLOG);
        listener.pipeline().addLast(new HandsOver());
        ChannelPromise bound = listener.newPromise();
        loop.register(listener).addListener(registered -> {
            if (registered.isSuccess()) {
                listener.bind(address, bound);
            } else {
                bound.setFailure(registered.cause());
            }
        });
        return bound;
    }

    /** Accepts from a listener that is bound and that others hold too; {@code first} has been accepted, or is null. */
    public ChannelFuture listen(ServerSocketChannel held, SocketChannel first) {
        shared = true;
        listener = new NioServerSocketChannel(held);
        listener.pipeline().addLast(new HandsOver());
        if (first != null) {
            choose().adopt(new NioSocketChannel(first));
        }
        return loop.register(listener);
    }

    /** Where it listens. */
    public SocketAddress address() {
        return listener.localAddress();
    }

    /** Takes in no more. From any thread, and for each loop that ends. */
    public void stop() {
        loop.execute(() -> {
            if (!stopped) {
                stopped = true;
                if (shared) {
                    listener.config().setAutoRead(false);
                    done = true;
                } else {
                    closeOnceEmpty(ClientServer.MOST_LOOKS);
                }
            }
        });
    }

    /** Whether a loop may still be given a client, which it then holds at once. From any thread. */
    public boolean mayHandOver() {
        return !done;
    }

    /** Guards against resetting those that stand in the backlog: their requests have been taken, by the platform's words. */
    private void closeOnceEmpty(int looks) {
        long before = accepted;
        loop.schedule(() -> {
            if (looks > 0 && (accepted != before || !listener.config().isAutoRead())) {
                closeOnceEmpty(looks - 1);
            } else {
                listener.close();
                done = true;
            }
        }, ClientServer.LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Fewest connections first; one that has not taken over what it was given last comes after all others. */
    private ClientServer choose() {
        ClientServer chosen = null;
        for (ClientServer server : servers) {
            if (server.hasRoom() && (chosen == null || server.strain() < chosen.strain())) {
                chosen = server;
            }
        }
        return chosen;
    }

    private final class HandsOver extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object connection) {
            Channel channel = (Channel) connection;
            accepted++;
            ClientServer chosen = choose();
            if (chosen == null) {
                // Accepted in the same batch as the last that found room; the next ones wait in the backlog.
                chosen = servers.get(0);
            }
            chosen.adopt(channel);
            if (choose() == null) {
                pause(ctx);
            }
        }

        /** Once for all that are accepted in one batch. */
        private void pause(ChannelHandlerContext ctx) {
            if (ctx.channel().config().isAutoRead()) {
                ctx.channel().config().setAutoRead(false);
                recheckLater(ctx);
            }
        }

        private void recheckLater(ChannelHandlerContext ctx) {
            loop.schedule(() -> {
                if (stopped && shared) {
                    return;
                }
                if (choose() != null) {
                    ctx.channel().config().setAutoRead(true);
                } else {
                    recheckLater(ctx);
                }
            }, RECHECK_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** Guards against a listener that ends, or spins, for want of descriptors: it waits for some to come free. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            pause(ctx);
        }
    }
}
