package cinderhollow.daemon;

import cinderhollow.core.AcceptErrorHandler;
import cinderhollow.handover.Snapshot;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * The socket exchange between the serving process and its successor in an upgrade, in a directory that both know. They share
 * one connection for as long as both serve: over it the successor receives a snapshot and reports that it serves, and its end
 * tells each that the other is gone. Loaded only where the platform provides the listener.
 */
final class Handover {
    /** Longest wait for the predecessor, in milliseconds; after it a successor starts without the snapshot. */
    static final long TIMEOUT_MILLIS = 500;
    private static final String SOCKET_NAME = "handover";
    private static final byte SERVING_MESSAGE = '!';

    private Handover() { }

    /**
     * Offers this gateway's snapshot in the directory from now on, in place of any earlier offer. A failure is logged in one
     * line; a later upgrade then starts without a snapshot.
     */
    static ChannelFuture offer(EventLoop loop, Path directory, GatewayService gateway, Consumer<String> log) {
        Path ownSocket = directory.resolve(SOCKET_NAME + "-" + ProcessHandle.current().pid() + "-" + System.nanoTime());
        return new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class)
                .handler(new AcceptErrorHandler()).childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Predecessor(gateway, log));
                    }
                }).bind(UnixDomainSocketAddress.of(ownSocket)).addListener(bound -> {
                    try {
                        if (!bound.isSuccess()) {
                            throw new IOException(bound.cause());
                        }
                        // Replaced atomically: a successor always finds either the old socket or this one.
                        Files.move(ownSocket, directory.resolve(SOCKET_NAME), StandardCopyOption.ATOMIC_MOVE,
                                StandardCopyOption.REPLACE_EXISTING);
                    } catch (IOException e) {
                        log.accept("cannot offer a handover to a successor: " + e.getMessage());
                    }
                });
    }

    /** Connection handler in the process that serves. */
    private static final class Predecessor extends SimpleChannelInboundHandler<ByteBuf> {
        private final GatewayService gateway;
        private final Consumer<String> log;
        private boolean successorServing;

        Predecessor(GatewayService gateway, Consumer<String> log) {
            this.gateway = gateway;
            this.log = log;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            gateway.snapshot().thenApply(Snapshot::encode).whenComplete((bytes, fault) -> {
                if (fault == null) {
                    ctx.writeAndFlush(Unpooled.wrappedBuffer(bytes));
                } else {
                    log.accept("cannot make a snapshot for a successor: " + fault.getMessage());
                    ctx.close();
                }
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) {
            if (!successorServing && message.isReadable() && message.readByte() == SERVING_MESSAGE) {
                successorServing = true;
                log.accept("a successor process serves beside this one");
                gateway.updateOverlap(true);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (successorServing) {
                gateway.updateOverlap(false);
            } else {
                log.accept("a successor went before it served; this process serves on");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /**
     * Takes over the snapshot that a process offers in the directory. Returns when this gateway has restored it, or when
     * there is none, which makes this an ordinary start. The returned task tells the predecessor that this process serves.
     */
    static Runnable takeOver(EventLoop loop, Path directory, GatewayService gateway, Consumer<String> log) {
        Path socketPath = directory.resolve(SOCKET_NAME);
        Successor successor = new Successor();
        if (Files.exists(socketPath)) {
            try {
                Channel channel = new Bootstrap().group(loop).channel(NioDomainSocketChannel.class).handler(successor)
                        .connect(UnixDomainSocketAddress.of(socketPath)).addListener(successor::connectDone).channel();
                gateway.restore(successor.snapshot.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                        .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                gateway.updateOverlap(true);
                channel.closeFuture().addListener(closed -> gateway.updateOverlap(false));
                log.accept("took over from the process before");
                return () -> channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {SERVING_MESSAGE}));
            } catch (ExecutionException | TimeoutException e) {
                successor.close();
                log.accept("no handover, starting without the predecessor's snapshot: "
                        + (e.getCause() == null ? "timed out" : e.getCause().getMessage()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return () -> { };
    }

    /** Connection handler in the successor: reads the header line, and then as many bytes as it announces. */
    private static final class Successor extends ByteToMessageDecoder {
        private final CompletableFuture<Snapshot> snapshot = new CompletableFuture<>();
        private volatile Channel channel;
        private String headerLine;

        void connectDone(io.netty.util.concurrent.Future<?> connect) {
            if (!connect.isSuccess()) {
                snapshot.completeExceptionally(connect.cause());
            }
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (headerLine == null) {
                int lineEnd = in.bytesBefore((byte) '\n');
                if (lineEnd < 0 && in.readableBytes() <= Snapshot.MAX_HEADER_BYTES) {
                    return;
                }
                headerLine = in.readCharSequence(lineEnd < 0 ? 0 : lineEnd + 1, StandardCharsets.US_ASCII).toString();
            }
            int length = Snapshot.bodyLength(headerLine);
            if (in.readableBytes() >= length && !snapshot.isDone()) {
                byte[] body = new byte[length];
                in.readBytes(body);
                snapshot.complete(Snapshot.decode(headerLine, body));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            super.channelInactive(ctx);
            snapshot.completeExceptionally(new IOException("connection closed before the snapshot was complete"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            snapshot.completeExceptionally(cause.getCause() == null ? cause : cause.getCause());
            ctx.close();
        }
    }
}
