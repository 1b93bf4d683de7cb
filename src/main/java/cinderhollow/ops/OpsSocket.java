package cinderhollow.ops;

import cinderhollow.core.AcceptErrorHandler;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The operators' socket: a connection carries one command line and one reply, and is then closed. Runs on one event loop.
 */
public final class OpsSocket {
    private static final int LONGEST_LINE = 256;
    /**
     * A connection without a complete command is closed after 10 s, which is ample, since commands come from programs. After a
     * reply the connection is closed with a delay of 500 ms.
     */
    private static final long SILENT_MILLIS = 10_000, LINGER_MILLIS = 500;

    private final EventLoop loop;
    private final GatewayControl desk;
    private final int mostCallers;
    /** Connections that have not sent a complete command, oldest first. */
    private final Set<Caller> silent = new LinkedHashSet<>();
    private int callers;
    private Channel listener;

    /** Creates a socket that sends commands to this gateway and allows this number of connections at a time. */
    public OpsSocket(EventLoop loop, GatewayControl desk, int mostCallers) {
        this.mostCallers = mostCallers;
        this.loop = loop;
        this.desk = desk;
    }

    /** Binds the address and listens; the future fails if the address is not available. */
    public ChannelFuture open(SocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .handler(new AcceptErrorHandler()).childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_LINE, true, true), new Caller(channel));
                    }
                }).bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Returns the address on which the socket listens. */
    public SocketAddress address() {
        return listener.localAddress();
    }

    /** Closes the listening socket. Commands already received are still answered. May be called from any thread. */
    public void close() {
        listener.close();
    }

    private CompletableFuture<String> answer(String call) {
        return switch (call) {
            case "status" -> desk.isServing().thenApply(serves -> serves ? "200 serving\n" : "400 not serving\n");
            case "stats" -> desk.stats().thenApply(standing -> standing.json() + "\nEOF\n");
            case "standby" -> desk.setStandby(true).thenApply(done -> "200 standby\n");
            case "active" -> desk.setStandby(false).thenApply(done -> "200 active\n");
            default -> CompletableFuture.completedFuture("400 unknown call: one of status, stats, standby, active\n");
        };
    }

    /** Handles one connection: reads a command, sends the reply and closes the connection. */
    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel channel;
        private boolean called;

        Caller(Channel channel) {
            this.channel = channel;
        }

        /**
         * Registers the connection. Above the limit, closes the connection that has waited longest without sending a command,
         * so that idle connections cannot block the socket.
         */
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            callers++;
            silent.add(this);
            if (callers > mostCallers) {
                // If all others have sent their command, this is the new connection itself; its client has to connect again.
                silent.iterator().next().channel.close();
            }
            loop.schedule(() -> {
                if (!called) {
                    channel.close();
                }
            }, SILENT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (!called) {
                tell(answer(line.toString(StandardCharsets.UTF_8).strip()).handleAsync((text, fault) ->
                        fault == null ? text : "400 no answer: " + fault.getMessage() + "\n", loop));
            }
        }

        private void tell(CompletableFuture<String> answer) {
            called = true;
            silent.remove(this);
            answer.thenAccept(text -> {
                // Ends the output before the close: a close with unread input sends a TCP reset, which can discard the reply.
                channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                        .addListener(written -> ((DuplexChannel) channel).shutdownOutput());
                loop.schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            callers--;
            silent.remove(this);
        }

        /**
         * Replies 400 to a line that is too long. Closes the connection if it is broken or its command was already received.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (called || !channel.isActive()) {
                ctx.close();
            } else {
                tell(CompletableFuture.completedFuture("400 no readable call\n"));
            }
        }
    }
}
