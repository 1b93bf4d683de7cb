package cinderhollow.daemon;

import cinderhollow.core.AcceptErrorHandler;
import cinderhollow.core.Transport;
import cinderhollow.evacuation.Order;
import cinderhollow.evacuation.ZoneStatus;
import cinderhollow.ledger.OpenMetrics;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The admin listener: HTTP on an address and a thread of its own, with {@code GET /metrics}, {@code POST
 * /ledger/acknowledge}, {@code GET /zones} and {@code POST /zones/...}. Each connection carries one request, and at most
 * {@link #MAX_CONNECTIONS} are held at once.
 */
final class Admin implements AutoCloseable {
    /** Connections held at once, and the longest request body in bytes. */
    private static final int MAX_CONNECTIONS = 16, MAX_REQUEST_BYTES = 1024;
    /** Time, in milliseconds from accepting to the last byte read by the client, after which a connection is closed. */
    private static final long CONNECTION_TIMEOUT_MILLIS = 10_000;
    /** Longest wait, in milliseconds, for the event loops to provide what was asked. */
    private static final long LOOP_TIMEOUT_MILLIS = 2_000;

    private static final String NO_PEERS_TEXT = "this gateway talks with no other\n", EOF_LINE = "# EOF\n";
    private static final int ORDER_PARTS = 3;
    private static final long MAX_ORDER_MILLIS = TimeUnit.DAYS.toMillis(30);

    private final GatewayService gateway;
    /** Epoch of this run of the process: its start time, and a random number that no other run has. */
    private final String epoch = System.currentTimeMillis() + "-" + Long.toHexString(new Random().nextLong());
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            new DefaultThreadFactory("admin", true), NioIoHandler.newFactory());
    private final ChannelGroup connections = new DefaultChannelGroup(group.next());
    private final Channel listener;

    private Admin(SocketAddress address, GatewayService gateway) throws IOException {
        this.gateway = gateway;
        Path socketFile = address instanceof UnixDomainSocketAddress unix ? unix.getPath() : null;
        if (socketFile != null) {
            removeStaleSocket(socketFile);
        }
        listener = new ServerBootstrap().group(group)
                .channel((socketFile == null ? Transport.TCP : Transport.UNIX_DOMAIN).serverChannelType())
                .handler(new AcceptErrorHandler()).childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        acceptConnection(channel);
                    }
                }).bind(address).syncUninterruptibly().channel();
        if (socketFile != null) {
            Files.setPosixFilePermissions(socketFile, PosixFilePermissions.fromString("rw-------"));
        }
    }

    /**
     * Starts an admin listener and returns a task that closes it. The return type is a plain one, so that a process without
     * an admin listener loads none of these classes.
     */
    static Runnable start(SocketAddress address, GatewayService gateway) {
        return listen(address, gateway)::close;
    }

    /** Starts an admin listener. An address that cannot be bound causes an {@link IllegalArgumentException}. */
    static Admin listen(SocketAddress address, GatewayService gateway) {
        try {
            return new Admin(address, gateway);
        } catch (Exception e) {
            // Netty rethrows whatever exception the bind failed with, undeclared.
            throw new IllegalArgumentException("can't open the admin listener on " + address + ": " + e.getMessage(), e);
        }
    }

    /** Deletes a socket file that a killed process left behind; if a process still listens on it, fails instead. */
    private static void removeStaleSocket(Path file) throws IOException {
        if (Files.exists(file)) {
            try {
                SocketChannel.open(UnixDomainSocketAddress.of(file)).close();
            } catch (ConnectException e) {
                Files.delete(file);
                return;
            }
            throw new IOException("another process listens there");
        }
    }

    SocketAddress address() {
        return listener.localAddress();
    }

    private void acceptConnection(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        connections.add(channel);
        channel.eventLoop().schedule(() -> channel.close(), CONNECTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES), new RequestHandler());
    }

    /** Inserts the zones' metrics before the last line, which marks the end of OpenMetrics text. */
    private static String appendZones(String metrics, ZoneStatus zones) {
        return zones == null || !metrics.endsWith(EOF_LINE) ? metrics
                : metrics.substring(0, metrics.length() - EOF_LINE.length()) + zones.formatMetrics() + EOF_LINE;
    }

    /** Handles the requests of one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String requestLine = request.method() + " " + request.uri();
            if (!request.decoderResult().isSuccess()) {
                answer(ctx, HttpResponseStatus.BAD_REQUEST, "not a readable HTTP request\n");
            } else if (requestLine.equals("GET /metrics")) {
                answerWhenDone(ctx, gateway.ledgerMetrics().thenCombine(gateway.zoneStatus(), (figures, zones) ->
                        appendZones(OpenMetrics.write(figures, epoch), zones)));
            } else if (requestLine.equals("POST /ledger/acknowledge")) {
                answerWhenDone(ctx, gateway.acknowledgeBreaches().thenApply(none -> "acknowledged\n"));
            } else if (requestLine.equals("GET /zones")) {
                answerWhenDone(ctx, gateway.zoneStatus()
                        .thenApply(standing -> standing == null ? NO_PEERS_TEXT : standing.formatText()));
            } else if (requestLine.startsWith("POST /zones/")) {
                order(ctx, request.uri().substring("/zones/".length()));
            } else {
                boolean knownPath = request.uri().equals("/metrics") || request.uri().equals("/ledger/acknowledge");
                answer(ctx, knownPath ? HttpResponseStatus.METHOD_NOT_ALLOWED : HttpResponseStatus.NOT_FOUND,
                        "GET /metrics, or POST /ledger/acknowledge\n");
            }
        }

        /** Gives an order from a path such as {@code leave/ostim/600000}; the last part is its duration in milliseconds. */
        private void order(ChannelHandlerContext ctx, String path) {
            String[] parts = path.split("/");
            try {
                Order.Action what = Order.Action.valueOf(parts[0].toUpperCase(Locale.ROOT));
                long forMillis = Long.parseLong(parts[2]);
                if (parts.length != ORDER_PARTS || forMillis < 0 || forMillis > MAX_ORDER_MILLIS) {
                    throw new IllegalArgumentException("no order: " + path);
                }
                gateway.order(parts[1], what, forMillis).orTimeout(LOOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .whenComplete((none, fault) -> answer(ctx, fault == null ? HttpResponseStatus.OK
                                : HttpResponseStatus.CONFLICT, fault == null ? "ordered\n" : fault.getMessage() + "\n"));
            } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
                answer(ctx, HttpResponseStatus.BAD_REQUEST, "an order is /zones/leave|return|hold|none/ZONE/MILLISECONDS\n");
            }
        }

        /** Answers with the text once its future completes, or with status 503 if it fails or takes too long. */
        private void answerWhenDone(ChannelHandlerContext ctx, CompletableFuture<String> text) {
            text.orTimeout(LOOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).whenComplete((body, fault) -> {
                if (fault == null) {
                    answer(ctx, HttpResponseStatus.OK, body);
                } else {
                    answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "an event loop does not answer\n");
                }
            });
        }

        private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, status.equals(HttpResponseStatus.OK)
                    && text.startsWith("#") ? OpenMetrics.CONTENT_TYPE : "text/plain; charset=utf-8");
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        if (listener.localAddress() instanceof UnixDomainSocketAddress unix) {
            unix.getPath().toFile().delete();
        }
    }
}
