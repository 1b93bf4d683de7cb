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
    private static final int MAX_LINE_BYTES = 256;
    /**
     * A connection without a complete command is closed after 10 s, which is ample, since commands come from programs. After a
     * reply the connection is closed with a delay of 500 ms.
     */
    private static final long COMMAND_TIMEOUT_MILLIS = 10_000, CLOSE_DELAY_MILLIS = 500;

    private final EventLoop loop;
    private final GatewayControl control;
    private final int maxConnections;
    /** Connections that have not sent a complete command, oldest first. */
    private final Set<CommandHandler> awaitingCommand = new LinkedHashSet<>();
    private int connectionCount;
    private Channel listener;

    /** Creates a socket that sends commands to this gateway and allows this number of connections at a time. */
    public OpsSocket(EventLoop loop, GatewayControl control, int maxConnections) {
        this.maxConnections = maxConnections;
        this.loop = loop;
        this.control = control;
    }

    /** Binds the address and listens; the future fails if the address is not available. */
    public ChannelFuture open(SocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .handler(new AcceptErrorHandler()).childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true),
                                new CommandHandler(channel));
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

    private CompletableFuture<String> execute(String command) {
        return switch (command) {
            case "status" -> control.isServing().thenApply(serving -> serving ? "200 serving\n" : "400 not serving\n");
            case "stats" -> control.stats().thenApply(stats -> stats.toJson() + "\nEOF\n");
            case "standby" -> control.setStandby(true).thenApply(done -> "200 standby\n");
            case "active" -> control.setStandby(false).thenApply(done -> "200 active\n");
            default -> CompletableFuture.completedFuture("400 unknown call: one of status, stats, standby, active\n");
        };
    }

    /** Handles one connection: reads a command, sends the reply and closes the connection. */
    private final class CommandHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel channel;
        private boolean commandReceived;

        CommandHandler(Channel channel) {
            this.channel = channel;
        }

        /**
         * Registers the connection. Above the limit, closes the connection that has waited longest without sending a command,
         * so that idle connections cannot block the socket.
         */
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connectionCount++;
            awaitingCommand.add(this);
            if (connectionCount > maxConnections) {
                // If all others have sent their command, this is the new connection itself; its client has to connect again.
                awaitingCommand.iterator().next().channel.close();
            }
            loop.schedule(() -> {
                if (!commandReceived) {
                    channel.close();
                }
            }, COMMAND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (!commandReceived) {
                reply(execute(line.toString(StandardCharsets.UTF_8).strip()).handleAsync((text, fault) ->
                        fault == null ? text : "400 no answer: " + fault.getMessage() + "\n", loop));
            }
        }

        private void reply(CompletableFuture<String> replyText) {
            commandReceived = true;
            awaitingCommand.remove(this);
            replyText.thenAccept(text -> {
                // Ends the output before the close: a close with unread input sends a TCP reset, which can discard the reply.
                channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                        .addListener(written -> ((DuplexChannel) channel).shutdownOutput());
                loop.schedule(() -> channel.close(), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connectionCount--;
            awaitingCommand.remove(this);
        }

        /**
         * Replies 400 to a line that is too long. Closes the connection if it is broken or its command was already received.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (commandReceived || !channel.isActive()) {
                ctx.close();
            } else {
                reply(CompletableFuture.completedFuture("400 no readable call\n"));
            }
        }
    }
}
