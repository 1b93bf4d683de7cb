package cinderhollow.daemon;

import cinderhollow.core.AcceptErrorHandler;
import cinderhollow.core.Transport;
import cinderhollow.membership.EndpointList;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.ServerInfo;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A warm-up: sends made-up requests through a gateway of its own, over Unix domain sockets, before the real one listens. In a
 * cold start under load, code that is not yet compiled costs so much time that the clients of the first seconds are answered
 * late, and the policy learns from these answers that all servers are slow. Nothing of the warm-up remains after it, and no
 * real client or server is involved.
 */
final class WarmUp {
    /** Size of the warm-up: enough to run nearly all code often; more would delay the start of the gateway. */
    private static final int REQUEST_COUNT = 400, CLIENT_COUNT = 8, SERVER_COUNT = 4, NO_BYTE = -1, END_MARK = 0;
    /** Body that contains the end mark only as its last byte: a read may end anywhere. */
    private static final byte[] BODY = (".".repeat(600) + (char) END_MARK).getBytes(StandardCharsets.US_ASCII);
    private static final byte[] EMPTY_BODY = { };
    /**
     * Longest duration of the warm-up, in milliseconds: the gateway is needed soon, and what is not compiled by then stays
     * cold.
     */
    static final long MAX_DURATION_MILLIS = 4_000;
    private static final long CLOSE_TIMEOUT_MILLIS = 500;
    /**
     * Longest wait for the first client connection, in milliseconds: far longer than connecting within a machine takes. On a
     * slower machine only the sockets are not warmed up.
     */
    private static final long FIRST_CONNECTION_TIMEOUT_MILLIS = 100;

    /** Event loops of the stand-in clients and servers, and of the warm-up's gateway. */
    private final EventLoop standInLoop;
    private final EventLoop gatewayLoop;
    private final GatewayConfig config;
    private final Transport transport;
    private final SocketAddress gatewayAddress;
    private final SocketAddress serverAddress;
    /** Channels of the stand-ins for clients and servers. */
    private final ChannelGroup standInChannels;
    private final CompletableFuture<Boolean> done = new CompletableFuture<>();
    private int requestsSent;
    private int responsesReceived;

    private WarmUp(MultiThreadIoEventLoopGroup group, GatewayConfig config, Transport transport,
                      SocketAddress gatewayAddress, SocketAddress serverAddress) {
        standInLoop = group.next();
        gatewayLoop = group.next();
        standInChannels = new DefaultChannelGroup(standInLoop);
        this.config = config;
        this.transport = transport;
        this.gatewayAddress = gatewayAddress;
        this.serverAddress = serverAddress;
    }

    /**
     * Runs the warm-up and returns whether it completed within {@code maxMillis} milliseconds. A failed warm-up only loses
     * its benefit. Where no connection over Unix domain sockets comes up, it runs without sockets, which warms up everything
     * but reading and writing them.
     */
    static boolean run(GatewayConfig config, long maxMillis) {
        return run(config, Transport.UNIX_DOMAIN, maxMillis);
    }

    static boolean run(GatewayConfig config, Transport transport, long maxMillis) {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            // Not a library method for temporary directories: these take their names from a slow random source.
            Path directory = Files.createDirectory(Path.of(System.getProperty("java.io.tmpdir"),
                    "rehearsal-" + ProcessHandle.current().pid() + "-" + System.nanoTime()));
            Path gatewaySocket = directory.resolve("stage");
            Path serverSocket = directory.resolve("hosts");
            try {
                return new WarmUp(group, config, transport, UnixDomainSocketAddress.of(gatewaySocket),
                        UnixDomainSocketAddress.of(serverSocket)).runAndClose(maxMillis) || runInProcess(config, maxMillis);
            } finally {
                group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await(CLOSE_TIMEOUT_MILLIS);
                Files.deleteIfExists(gatewaySocket);
                Files.deleteIfExists(serverSocket);
                Files.deleteIfExists(directory);
            }
        } catch (TimeoutException e) {
            System.err.println("cinderhollow: warm-up stopped at its time limit");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | ExecutionException | RuntimeException e) {
            // Includes what the library throws unchecked, for instance where the system has no socket: otherwise the main
            // thread would end, and the process would stay without ever listening.
            System.err.println("cinderhollow: warm-up failed, starting cold: " + e.getMessage());
        }
        return false;
    }

    /** Runs the warm-up over in-process channels, without sockets. */
    private static boolean runInProcess(GatewayConfig config, long maxMillis)
            throws InterruptedException, ExecutionException, TimeoutException {
        // Two threads: on one, answers would be received while their request is still being sent.
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, LocalIoHandler.newFactory());
        try {
            return new WarmUp(group, config, Transport.IN_PROCESS, new LocalAddress(WarmUp.class),
                    new LocalAddress(WarmUp.class)).runAndClose(maxMillis);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await(CLOSE_TIMEOUT_MILLIS);
        }
    }

    /** Runs the warm-up and closes what it opened. Returns true if it completed, false if no client connected. */
    private boolean runAndClose(long maxMillis) throws InterruptedException, ExecutionException, TimeoutException {
        try {
            return start().get(maxMillis, TimeUnit.MILLISECONDS);
        } finally {
            // Closed while both loops run: an in-process channel whose peer's loop has ended cannot be closed without a
            // warning. What the closing of the stand-ins triggers is queued on the gateway's loop before that ends, and the
            // reaction to it on theirs. In one process the gateway's loop ends first, since it may open new connections until
            // then, and closes what it has open.
            standInChannels.close().await(CLOSE_TIMEOUT_MILLIS);
            gatewayLoop.submit(() -> { }).await(CLOSE_TIMEOUT_MILLIS);
            if (gatewayLoop != standInLoop) {
                gatewayLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await(CLOSE_TIMEOUT_MILLIS);
            }
            standInLoop.submit(() -> { }).await(CLOSE_TIMEOUT_MILLIS);
        }
    }

    private CompletableFuture<Boolean> start() {
        // Loads the TCP channel class too: code compiled for one kind of channel alone would be deoptimized by the first
        // channel of the other kind.
        new NioSocketChannel().unsafe().closeForcibly();
        ServerBootstrap listener = new ServerBootstrap().group(standInLoop).channel(transport.serverChannelType());
        listener.handler(new AcceptErrorHandler()).childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                standInChannels.add(channel);
                channel.pipeline().addLast(new StandInServer());
            }
        }).bind(serverAddress).addListener(bound -> {
            if (bound.isSuccess()) {
                Gateway.start(gatewayLoop, gatewayConfig(), transport, line -> { }).whenComplete((gateway, fault) -> {
                    if (fault == null) {
                        connectClients();
                    } else {
                        done.completeExceptionally(fault);
                    }
                });
            } else {
                done.completeExceptionally(bound.cause());
            }
        });
        return done;
    }

    /** Returns the real settings, with the stand-in servers as the only endpoints. */
    private GatewayConfig gatewayConfig() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            endpoints.add(new Endpoint(new ServerInfo("host-" + i, config.settings().zone(), "any", 0, Readiness.READY,
                    1, 0), serverAddress));
        }
        return new GatewayConfig(gatewayAddress, serverAddress, config.seed(), config.maxDescriptors(), config.dialTimeoutNanos(),
                config.idleTimeoutNanos(), config.settings(), new EndpointList(0, true, endpoints), null, null, null, null,
                null, null, null);
    }

    private void connectClients() {
        Bootstrap bootstrap = new Bootstrap().group(standInLoop).channel(transport.clientChannelType())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        standInChannels.add(channel);
                        channel.pipeline().addLast(new StandInClient());
                    }
                });
        for (int i = 0; i < CLIENT_COUNT; i++) {
            bootstrap.connect(gatewayAddress);
        }
        // On a machine where no connection over such sockets comes up, the start would otherwise wait for the whole duration
        // of the warm-up, and in a release most of a fleet starts at once.
        if (transport != Transport.IN_PROCESS) {
            standInLoop.schedule(() -> {
                if (requestsSent == 0) {
                    done.complete(false);
                }
            }, FIRST_CONNECTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Stand-in for a client or a server. Both know each other's messages and need no codec, whose own warming up would only
     * cost time: a body ends with a mark, and nothing is sent before the answer to it has come.
     */
    private abstract static class StandIn extends SimpleChannelInboundHandler<ByteBuf> {
        private int firstByte = NO_BYTE;

        @Override
        protected final void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            firstByte = firstByte == NO_BYTE ? bytes.getByte(bytes.readerIndex()) : firstByte;
            int lastByte = bytes.getByte(bytes.writerIndex() - 1);
            if (isComplete(firstByte, lastByte, bytes)) {
                firstByte = NO_BYTE;
                handleMessage(ctx);
            }
        }

        /** Closes a connection that fails; the duration of the warm-up is bounded all the same. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        /** Returns whether the message read so far is complete, by its first and last byte and what was read last. */
        abstract boolean isComplete(int firstByte, int lastByte, ByteBuf bytes);

        /** Handles a complete message. */
        abstract void handleMessage(ChannelHandlerContext ctx);

        static void write(ChannelHandlerContext ctx, String head, byte[] body) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer((head + "\r\n").getBytes(StandardCharsets.US_ASCII), body));
        }
    }

    /** Stand-in client: sends a request, and the next one after each answer. */
    private final class StandInClient extends StandIn {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendRequest(ctx);
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            List<RequestClass> classes = config.settings().classes();
            RequestClass c = classes.get(requestsSent++ % classes.size());
            boolean safe = c.effect() == Effect.SAFE;
            String head = (safe ? "GET /" : "POST /") + c.name() + "/" + requestsSent + " HTTP/1.1\r\nHost: localhost\r\n"
                    + "X-Request-ID: rehearsal-" + requestsSent + "\r\nX-Timeout: "
                    + TimeUnit.NANOSECONDS.toMillis(c.deadlineNanos()) + "m\r\n";
            if (!config.settings().tenants().isEmpty()) {
                head += "X-Tenant-Id: " + config.settings().tenants().get(0).name() + "\r\n";
            }
            if (c.effect() == Effect.KEYED) {
                head += "Idempotency-Key: rehearsal-" + requestsSent + "\r\n";
            }
            write(ctx, safe ? head : head + "Content-Length: " + BODY.length + "\r\n", safe ? EMPTY_BODY : BODY);
        }

        /**
         * A server's body ends with the mark; the gateway's own answer ends with a bare line feed, which no header block
         * does.
         */
        @Override
        boolean isComplete(int firstByte, int lastByte, ByteBuf bytes) {
            int secondLastByte = bytes.readableBytes() < 2 ? END_MARK : bytes.getByte(bytes.writerIndex() - 2);
            return lastByte == END_MARK || lastByte == '\n' && secondLastByte != '\r';
        }

        @Override
        void handleMessage(ChannelHandlerContext ctx) {
            if (++responsesReceived < REQUEST_COUNT) {
                sendRequest(ctx);
            } else {
                done.complete(true);
            }
        }
    }

    /** Stand-in server: serves nearly all requests, and answers some in the other ways in which an attempt can end. */
    private static final class StandInServer extends StandIn {
        private static final int FULL_EVERY = 37, ERROR_EVERY = 53;
        private static final String COMMON_HEADERS = "Content-Length: " + BODY.length + "\r\nX-Server-Load: tps=";

        private int requests;

        /** A POST has a body, which ends with the mark; a GET ends with its headers. */
        @Override
        boolean isComplete(int firstByte, int lastByte, ByteBuf bytes) {
            return lastByte == (firstByte == 'P' ? END_MARK : '\n');
        }

        @Override
        void handleMessage(ChannelHandlerContext ctx) {
            requests++;
            boolean full = requests % FULL_EVERY == 0;
            String status = full ? "503 Full\r\nX-Not-Processed: 1\r\n"
                    : requests % ERROR_EVERY == 0 ? "500 Error\r\n" : "200 OK\r\n";
            write(ctx, "HTTP/1.1 " + status + COMMON_HEADERS + requests + ".5,load_share=0.25,err_ps=0\r\n", BODY);
        }
    }
}
