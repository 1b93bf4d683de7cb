package cinderhollow.daemon;

import cinderhollow.core.AcceptErrorHandler;
import cinderhollow.core.Transport;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.membership.EndpointList;
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
    private static final int REQUESTS = 400, CLIENTS = 8, HOSTS = 4, NONE = -1, MARK = 0;
    /** Body that contains the end mark only as its last byte: a read may end anywhere. */
    private static final byte[] BODY = (".".repeat(600) + (char) MARK).getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NOTHING = { };
    /**
     * Longest duration of the warm-up, in milliseconds: the gateway is needed soon, and what is not compiled by then stays
     * cold.
     */
    static final long LONGEST_MILLIS = 4_000;
    private static final long END_MILLIS = 500;
    /**
     * Longest wait for the first client connection, in milliseconds: far longer than connecting within a machine takes. On a
     * slower machine only the sockets are not warmed up.
     */
    private static final long FIRST_MILLIS = 100;

    /** Event loops of the stand-in clients and servers, and of the warm-up's gateway. */
    private final EventLoop loop;
    private final EventLoop gatewayLoop;
    private final GatewayConfig config;
    private final Transport transport;
    private final SocketAddress stage;
    private final SocketAddress hosts;
    /** Channels of the stand-ins for clients and servers. */
    private final ChannelGroup sides;
    private final CompletableFuture<Boolean> done = new CompletableFuture<>();
    private int asked;
    private int answered;

    private WarmUp(MultiThreadIoEventLoopGroup group, GatewayConfig config, Transport transport,
                      SocketAddress stage, SocketAddress hosts) {
        loop = group.next();
        gatewayLoop = group.next();
        sides = new DefaultChannelGroup(loop);
        this.config = config;
        this.transport = transport;
        this.stage = stage;
        this.hosts = hosts;
    }

    /**
     * Runs the warm-up and returns whether it completed within {@code maxMillis} milliseconds. A failed warm-up only loses
     * its benefit. Where no connection over Unix domain sockets comes up, it runs without sockets, which warms up everything
     * but reading and writing them.
     */
    static boolean run(GatewayConfig config, long longestMillis) {
        return run(config, Transport.UNIX_DOMAIN, longestMillis);
    }

    static boolean run(GatewayConfig config, Transport transport, long longestMillis) {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            // Not a library method for temporary directories: these take their names from a slow random source.
            Path folder = Files.createDirectory(Path.of(System.getProperty("java.io.tmpdir"),
                    "rehearsal-" + ProcessHandle.current().pid() + "-" + System.nanoTime()));
            Path stage = folder.resolve("stage");
            Path hosts = folder.resolve("hosts");
            try {
                return new WarmUp(group, config, transport, UnixDomainSocketAddress.of(stage),
                        UnixDomainSocketAddress.of(hosts)).played(longestMillis) || inProcess(config, longestMillis);
            } finally {
                group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await(END_MILLIS);
                Files.deleteIfExists(stage);
                Files.deleteIfExists(hosts);
                Files.deleteIfExists(folder);
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
    private static boolean inProcess(GatewayConfig config, long longestMillis)
            throws InterruptedException, ExecutionException, TimeoutException {
        // Two threads: on one, answers would be received while their request is still being sent.
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, LocalIoHandler.newFactory());
        try {
            return new WarmUp(group, config, Transport.IN_PROCESS, new LocalAddress(WarmUp.class),
                    new LocalAddress(WarmUp.class)).played(longestMillis);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await(END_MILLIS);
        }
    }

    /** Runs the warm-up and closes what it opened. Returns true if it completed, false if no client connected. */
    private boolean played(long longestMillis) throws InterruptedException, ExecutionException, TimeoutException {
        try {
            return play().get(longestMillis, TimeUnit.MILLISECONDS);
        } finally {
            // Closed while both loops run: an in-process channel whose peer's loop has ended cannot be closed without a
            // warning. What the closing of the stand-ins triggers is queued on the gateway's loop before that ends, and the
            // reaction to it on theirs. In one process the gateway's loop ends first, since it may open new connections until
            // then, and closes what it has open.
            sides.close().await(END_MILLIS);
            gatewayLoop.submit(() -> { }).await(END_MILLIS);
            if (gatewayLoop != loop) {
                gatewayLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await(END_MILLIS);
            }
            loop.submit(() -> { }).await(END_MILLIS);
        }
    }

    private CompletableFuture<Boolean> play() {
        // Loads the TCP channel class too: code compiled for one kind of channel alone would be deoptimized by the first
        // channel of the other kind.
        new NioSocketChannel().unsafe().closeForcibly();
        ServerBootstrap listener = new ServerBootstrap().group(loop).channel(transport.serverChannelType());
        listener.handler(new AcceptErrorHandler()).childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                sides.add(channel);
                channel.pipeline().addLast(new Host());
            }
        }).bind(hosts).addListener(bound -> {
            if (bound.isSuccess()) {
                Gateway.start(gatewayLoop, setting(), transport, line -> { }).whenComplete((gateway, fault) -> {
                    if (fault == null) {
                        clients();
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
    private GatewayConfig setting() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            endpoints.add(new Endpoint(new ServerInfo("host-" + i, config.settings().zone(), "any", 0, Readiness.READY,
                    1, 0), hosts));
        }
        return new GatewayConfig(stage, hosts, config.seed(), config.maxDescriptors(), config.dialTimeoutNanos(),
                config.idleTimeoutNanos(), config.settings(), new EndpointList(0, true, endpoints), null, null, null, null, null, null, null);
    }

    private void clients() {
        Bootstrap dial = new Bootstrap().group(loop).channel(transport.clientChannelType())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        sides.add(channel);
                        channel.pipeline().addLast(new Client());
                    }
                });
        for (int i = 0; i < CLIENTS; i++) {
            dial.connect(stage);
        }
        // On a machine where no connection over such sockets comes up, the start would otherwise wait for the whole duration
        // of the warm-up, and in a release most of a fleet starts at once.
        if (transport != Transport.IN_PROCESS) {
            loop.schedule(() -> {
                if (asked == 0) {
                    done.complete(false);
                }
            }, FIRST_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Stand-in for a client or a server. Both know each other's messages and need no codec, whose own warming up would only
     * cost time: a body ends with a mark, and nothing is sent before the answer to it has come.
     */
    private abstract static class FarSide extends SimpleChannelInboundHandler<ByteBuf> {
        private int first = NONE;

        @Override
        protected final void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            first = first == NONE ? bytes.getByte(bytes.readerIndex()) : first;
            int last = bytes.getByte(bytes.writerIndex() - 1);
            if (isWhole(first, last, bytes)) {
                first = NONE;
                came(ctx);
            }
        }

        /** Closes a connection that fails; the duration of the warm-up is bounded all the same. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        /** Returns whether the message read so far is complete, by its first and last byte and what was read last. */
        abstract boolean isWhole(int first, int last, ByteBuf end);

        /** Handles a complete message. */
        abstract void came(ChannelHandlerContext ctx);

        static void write(ChannelHandlerContext ctx, String head, byte[] body) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer((head + "\r\n").getBytes(StandardCharsets.US_ASCII), body));
        }
    }

    /** Stand-in client: sends a request, and the next one after each answer. */
    private final class Client extends FarSide {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            List<RequestClass> classes = config.settings().classes();
            RequestClass c = classes.get(asked++ % classes.size());
            boolean safe = c.effect() == Effect.SAFE;
            String head = (safe ? "GET /" : "POST /") + c.name() + "/" + asked + " HTTP/1.1\r\nHost: localhost\r\n"
                    + "X-Request-ID: rehearsal-" + asked + "\r\nX-Timeout: "
                    + TimeUnit.NANOSECONDS.toMillis(c.deadlineNanos()) + "m\r\n";
            if (!config.settings().tenants().isEmpty()) {
                head += "X-Tenant-Id: " + config.settings().tenants().get(0).name() + "\r\n";
            }
            if (c.effect() == Effect.KEYED) {
                head += "Idempotency-Key: rehearsal-" + asked + "\r\n";
            }
            write(ctx, safe ? head : head + "Content-Length: " + BODY.length + "\r\n", safe ? NOTHING : BODY);
        }

        /**
         * A server's body ends with the mark; the gateway's own answer ends with a bare line feed, which no header block
         * does.
         */
        @Override
        boolean isWhole(int first, int last, ByteBuf end) {
            int ahead = end.readableBytes() < 2 ? MARK : end.getByte(end.writerIndex() - 2);
            return last == MARK || last == '\n' && ahead != '\r';
        }

        @Override
        void came(ChannelHandlerContext ctx) {
            if (++answered < REQUESTS) {
                ask(ctx);
            } else {
                done.complete(true);
            }
        }
    }

    /** Stand-in server: serves nearly all requests, and answers some in the other ways in which an attempt can end. */
    private static final class Host extends FarSide {
        private static final int FULL_EVERY = 37, ERROR_EVERY = 53;
        private static final String REST = "Content-Length: " + BODY.length + "\r\nX-Server-Load: tps=";

        private int requests;

        /** A POST has a body, which ends with the mark; a GET ends with its headers. */
        @Override
        boolean isWhole(int first, int last, ByteBuf end) {
            return last == (first == 'P' ? MARK : '\n');
        }

        @Override
        void came(ChannelHandlerContext ctx) {
            requests++;
            boolean full = requests % FULL_EVERY == 0;
            String status = full ? "503 Full\r\nX-Not-Processed: 1\r\n"
                    : requests % ERROR_EVERY == 0 ? "500 Error\r\n" : "200 OK\r\n";
            write(ctx, "HTTP/1.1 " + status + REST + requests + ".5,load_share=0.25,err_ps=0\r\n", BODY);
        }
    }
}
