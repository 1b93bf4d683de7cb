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
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Accepts connections on one listening socket for several event loops, on an event loop of its own. Each connection is dispatched
 * to the loop that has room and holds the fewest; a loop that does not respond, and so has not registered what it was dispatched,
 * comes last. With a listening socket for each loop the kernel would distribute connections by a hash, and so unevenly, and new
 * clients would wait on a loop that is stalled.
 */
public final class Acceptor {
    /** Interval in milliseconds at which the loops are checked for room while accepting is paused. */
    private static final long RECHECK_MILLIS = 20;

    private final EventLoop loop;
    private final List<DownstreamConnectionManager> connectionManagers;
    private NioServerSocketChannel listener = new NioServerSocketChannel();
    /** Whether another process holds the listening socket too; this process then never closes it. */
    private boolean listenerShared;
    private volatile boolean stopped;
    /** Whether no connection is dispatched to any loop any more. */
    private volatile boolean dispatchStopped;
    /** Number of connections accepted so far. */
    private long acceptedCount;

    /**
     * Creates an acceptor that runs on the given event loop and dispatches connections to {@code connectionManagers}, each of
     * which runs on an event loop of its own.
     */
    public Acceptor(EventLoop loop, List<DownstreamConnectionManager> connectionManagers) {
        this.loop = loop;
        this.connectionManagers = List.copyOf(connectionManagers);
    }

    /** Starts to listen on an address. The future fails if the address cannot be bound. May be called from any thread. */
    public ChannelFuture listen(SocketAddress address) {
        listener.config().setOption(ChannelOption.SO_BACKLOG, DownstreamConnectionManager.BACKLOG);
        listener.pipeline().addLast(new ConnectionDispatcher(() -> InheritedBacklog.NOT_WAITING));
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

    /** Accepts from a bound listening socket that another process holds too. */
    public ChannelFuture listen(InheritedBacklog backlog) {
        listenerShared = true;
        listener = new NioServerSocketChannel(backlog.listener());
        listener.pipeline().addLast(backlog, new ConnectionDispatcher(backlog::waitingSince));
        if (backlog.firstConnection() != null) {
            chooseLeastLoaded().addConnection(new NioSocketChannel(backlog.firstConnection()),
                    backlog.firstConnectionWaitingSince());
        }
        return loop.register(listener);
    }

    /** Returns the address it listens on. */
    public SocketAddress address() {
        return listener.localAddress();
    }

    /**
     * Stops accepting, and closes the listener once its backlog is empty unless another process holds it too. May be called from
     * any thread, and more than once: each event loop that shuts down calls it.
     */
    public void stop() {
        if (loop.isShuttingDown()) {
            // It has ended by a fault, and its listener with it.
            dispatchStopped = true;
            return;
        }
        loop.execute(() -> {
            if (!stopped) {
                stopped = true;
                if (listenerShared) {
                    listener.config().setAutoRead(false);
                    dispatchStopped = true;
                } else {
                    closeListenerWhenBacklogEmpty(DownstreamConnectionManager.MAX_BACKLOG_POLLS);
                }
            }
        });
    }

    /**
     * Returns whether a loop may still be dispatched a connection, which then counts as held by that loop at once. May be called
     * from any thread.
     */
    public boolean canDispatch() {
        return !dispatchStopped;
    }

    /**
     * Closes the listener once no further connection comes from the backlog, or no polls are left. Closing it earlier would reset
     * connections in the backlog, whose requests count as accepted by the rules of the platform.
     */
    private void closeListenerWhenBacklogEmpty(int pollsLeft) {
        long acceptedBefore = acceptedCount;
        loop.schedule(() -> {
            if (pollsLeft > 0 && (acceptedCount != acceptedBefore || !listener.config().isAutoRead())) {
                closeListenerWhenBacklogEmpty(pollsLeft - 1);
            } else {
                listener.close();
                dispatchStopped = true;
            }
        }, DownstreamConnectionManager.SOCKET_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the loop with the fewest connections that has room, or null. Loops with dispatched connections that they have not
     * registered yet come after all others.
     */
    private DownstreamConnectionManager chooseLeastLoaded() {
        DownstreamConnectionManager chosen = null;
        for (DownstreamConnectionManager candidate : connectionManagers) {
            if (candidate.hasRoom() && (chosen == null || candidate.loadScore() < chosen.loadScore())) {
                chosen = candidate;
            }
        }
        return chosen;
    }

    /** Handler of the listening socket that dispatches accepted connections to the loops. */
    private final class ConnectionDispatcher extends ChannelInboundHandlerAdapter {
        private final LongSupplier waitingSince;

        /** {@code waitingSince}: since when input of a connection that is accepted now may have been waiting. */
        ConnectionDispatcher(LongSupplier waitingSince) {
            this.waitingSince = waitingSince;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object connection) {
            Channel channel = (Channel) connection;
            acceptedCount++;
            DownstreamConnectionManager chosen = chooseLeastLoaded();
            if (chosen == null) {
                // Accepted in the same batch as the last connection that found room; further ones wait in the backlog.
                chosen = connectionManagers.get(0);
            }
            chosen.addConnection(channel, waitingSince.getAsLong());
            if (chooseLeastLoaded() == null) {
                pause(ctx);
            }
        }

        /** Pauses accepting until a loop has room again; does so once for all connections that are accepted in one batch. */
        private void pause(ChannelHandlerContext ctx) {
            if (ctx.channel().config().isAutoRead()) {
                ctx.channel().config().setAutoRead(false);
                recheckLater(ctx);
            }
        }

        private void recheckLater(ChannelHandlerContext ctx) {
            loop.schedule(() -> {
                if (stopped && listenerShared) {
                    return;
                }
                if (chooseLeastLoaded() != null) {
                    ctx.channel().config().setAutoRead(true);
                } else {
                    recheckLater(ctx);
                }
            }, RECHECK_MILLIS, TimeUnit.MILLISECONDS);
        }

        /**
         * Pauses accepting after a failure, such as when file descriptors run out: the listener must neither close nor retry in a
         * tight loop, but wait until some are free.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            pause(ctx);
        }
    }
}
