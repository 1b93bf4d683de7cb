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
 * The address at which operators call: one line to a connection, one answer, and the connection ends. All of it runs on
 * one event loop.
 */
public final class Door {
    private static final int LONGEST_LINE = 256;
    /** Longer than anyone takes to type a call to a door that is reached by programs. */
    private static final long SILENT_MILLIS = 10_000, LINGER_MILLIS = 500;

    private final EventLoop loop;
    private final Desk desk;
    private final int mostCallers;
    /** Those whose call has not come whole, the longest silent first. */
    private final Set<Caller> silent = new LinkedHashSet<>();
    private int callers;
    private Channel listener;

    /** A door of this desk, for so many callers at a time. */
    public Door(EventLoop loop, Desk desk, int mostCallers) {
        this.mostCallers = mostCallers;
        this.loop = loop;
        this.desk = desk;
    }

    /** Opens it; the future fails where the address can't be had. */
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

    /** Where it listens. */
    public SocketAddress address() {
        return listener.localAddress();
    }

    /** Takes no more calls; those that are under way have their answer. From any thread. */
    public void close() {
        listener.close();
    }

    private CompletableFuture<String> answer(String call) {
        return switch (call) {
            case "status" -> desk.serves().thenApply(serves -> serves ? "200 serving\n" : "400 not serving\n");
            case "stats" -> desk.standing().thenApply(standing -> standing.json() + "\nEOF\n");
            case "standby" -> desk.standby(true).thenApply(done -> "200 standby\n");
            case "active" -> desk.standby(false).thenApply(done -> "200 active\n");
            default -> CompletableFuture.completedFuture("400 unknown call: one of status, stats, standby, active\n");
        };
    }

    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel channel;
        private boolean called;

        Caller(Channel channel) {
            this.channel = channel;
        }

        /** Guards against callers that hold all places and say nothing: the longest silent makes room. */
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            callers++;
            silent.add(this);
            if (callers > mostCallers) {
                // The newest itself where all others have called: its turn comes when it calls again.
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
                // Output first: closing with a second line unread would be a reset, which takes the answer away.
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

        /** A line that is too long, or a connection that broke. */
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
