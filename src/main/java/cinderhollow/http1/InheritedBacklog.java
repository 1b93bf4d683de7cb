package cinderhollow.http1;

import cinderhollow.core.GatewayClock;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * The backlog of a listening socket that is older than this process. Connections that this process finds in it have been waiting
 * with their requests, for an unknown time; what is known is how long this process has held the socket without accepting. Until
 * the backlog has been empty once, the time of a new connection's input counts from then.
 *
 * <p>Netty handler of the listening channel; belongs to that channel's event loop.
 */
public final class InheritedBacklog extends ChannelInboundHandlerAdapter {
    /** The value of {@link #waitingSince} for connections that have not been waiting. */
    static final long NOT_WAITING = Long.MAX_VALUE;
    /** Time after which the backlog that was found counts as empty, though connections come faster than they are accepted. */
    private static final long MAX_DRAIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ServerSocketChannel listener;
    private final SocketChannel firstConnection;
    private final long adoptedAt;
    private final GatewayClock clock;
    private final long drainedBy;
    private boolean drained;
    private int acceptedInBatch;

    /**
     * Creates the backlog at the time at which accepting begins.
     *
     * @param listener the inherited listening socket
     * @param firstConnection connection that was accepted when the socket was adopted, or null
     * @param adoptedAt time of that
     * @param predecessorAccepts whether another process has been accepting all the time, so that nobody else has been waiting
     * @param clock clock of all times
     */
    public InheritedBacklog(ServerSocketChannel listener, SocketChannel firstConnection, long adoptedAt,
            boolean predecessorAccepts, GatewayClock clock) {
        this.listener = listener;
        this.firstConnection = firstConnection;
        this.adoptedAt = adoptedAt;
        this.clock = clock;
        drained = predecessorAccepts;
        drainedBy = clock.nanos() + MAX_DRAIN_NANOS;
    }

    ServerSocketChannel listener() {
        return listener;
    }

    SocketChannel firstConnection() {
        return firstConnection;
    }

    /** Returns since when input of the first connection may have been waiting. */
    long firstConnectionWaitingSince() {
        return adoptedAt;
    }

    /** Returns since when input of a connection that is accepted now may have been waiting, as far as that is known. */
    long waitingSince() {
        return drained || clock.nanos() > drainedBy ? NOT_WAITING : adoptedAt;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        acceptedInBatch++;
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        MaxMessagesRecvByteBufAllocator batches = ctx.channel().config().getRecvByteBufAllocator();
        drained |= acceptedInBatch < batches.maxMessagesPerRead();
        acceptedInBatch = 0;
        ctx.fireChannelReadComplete();
    }
}
