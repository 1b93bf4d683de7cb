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
 * Made-up requests through a gateway of its own, over sockets in the file system, before the real one listens.
 * Guards against a cold start under load: code that is not yet compiled costs so much that the first seconds'
 * clients are answered late, and the module learns from these answers that all hosts are slow. Nothing of the
 * rehearsal outlives it, and no client or host ever sees it.
 */
final class Rehearsal {
    /** Enough to meet nearly all code often; more would keep a gateway that starts anew out for longer. */
    private static final int REQUESTS = 400, CLIENTS = 8, HOSTS = 4, NONE = -1, MARK = 0;
    /** The mark stands at the end alone: a read may end anywhere. */
    private static final byte[] BODY = (".".repeat(600) + (char) MARK).getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NOTHING = { };
    /** A gateway is wanted soon after its start: what isn't warm by then has to do. */
    static final long LONGEST_MILLIS = 4_000;
    private static final long END_MILLIS = 500;
    /** Far longer than a connection within a machine takes; a machine so slow that it isn't loses only the sockets' part. */
    private static final long FIRST_MILLIS = 100;

    /** Of clients and hosts, and of the gateway. */
    private final EventLoop loop;
    private final EventLoop gatewayLoop;
    private final GatewayConfig config;
    private final Transport transport;
    private final SocketAddress stage;
    private final SocketAddress hosts;
    /** The far sides of all that the gateway has open. */
    private final ChannelGroup sides;
    private final CompletableFuture<Boolean> done = new CompletableFuture<>();
    private int asked;
    private int answered;

    private Rehearsal(MultiThreadIoEventLoopGroup group, GatewayConfig config, Transport transport,
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
     * Returns when all is warm, or when it has taken long enough: whether it was played to its end. One that
     * fails costs only its gain. Where nobody comes to sockets in the file system it is played without sockets,
     * which warms all but the reading and writing of them.
     */
    static boolean run(GatewayConfig config, long longestMillis) {
        return run(config, Transport.FILES, longestMillis);
    }

    static boolean run(GatewayConfig config, Transport transport, long longestMillis) {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            // Of its own making: the library's names for such folders come out of a slow source of chance.
            Path folder = Files.createDirectory(Path.of(System.getProperty("java.io.tmpdir"),
                    "rehearsal-" + ProcessHandle.current().pid() + "-" + System.nanoTime()));
            Path stage = folder.resolve("stage");
            Path hosts = folder.resolve("hosts");
            try {
                return new Rehearsal(group, config, transport, UnixDomainSocketAddress.of(stage),
                        UnixDomainSocketAddress.of(hosts)).played(longestMillis) || inProcess(config, longestMillis);
            } finally {
                group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await(END_MILLIS);
                Files.deleteIfExists(stage);
                Files.deleteIfExists(hosts);
                Files.deleteIfExists(folder);
            }
        } catch (TimeoutException e) {
            System.err.println("cinderhollow: the rehearsal was cut short");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | ExecutionException | RuntimeException e) {
            // Also what the library throws unchecked, as where the system has no socket: guards against the end of the main
            // thread, whose process would stay and never listen.
            System.err.println("cinderhollow: no rehearsal: " + e.getMessage());
        }
        return false;
    }

    private static boolean inProcess(GatewayConfig config, long longestMillis)
            throws InterruptedException, ExecutionException, TimeoutException {
        // Guards against answers that come while their request is still being sent, as within one thread they would.
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, LocalIoHandler.newFactory());
        try {
            return new Rehearsal(group, config, Transport.PROCESS, new LocalAddress(Rehearsal.class),
                    new LocalAddress(Rehearsal.class)).played(longestMillis);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await(END_MILLIS);
        }
    }

    /** Returns at its end: true if it was played whole, false if nobody came. */
    private boolean played(long longestMillis) throws InterruptedException, ExecutionException, TimeoutException {
        try {
            return play().get(longestMillis, TimeUnit.MILLISECONDS);
        } finally {
            // While both loops run: a queue whose other end's loop is gone can't be closed without a warning. What the
            // far sides' closing sets off stands in the gateway's queue before its end, and the answer to that in theirs. In
            // one process the gateway's loop ends first, since it may dial anew until then, and closes what it has open.
            sides.close().await(END_MILLIS);
            gatewayLoop.submit(() -> { }).await(END_MILLIS);
            if (gatewayLoop != loop) {
                gatewayLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await(END_MILLIS);
            }
            loop.submit(() -> { }).await(END_MILLIS);
        }
    }

    private CompletableFuture<Boolean> play() {
        // Guards against compiling for one kind of sockets alone, which the first of the other kind would undo.
        new NioSocketChannel().unsafe().closeForcibly();
        ServerBootstrap listener = new ServerBootstrap().group(loop).channel(transport.server());
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

    /** The real settings, with hosts that are all this rehearsal's own. */
    private GatewayConfig setting() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            endpoints.add(new Endpoint(new ServerInfo("host-" + i, config.settings().zone(), "any", 0, Readiness.READY,
                    1, 0), hosts));
        }
        return new GatewayConfig(stage, hosts, config.seed(), config.sockets(), config.dialTimeoutNanos(),
                config.idleNanos(), config.settings(), new EndpointList(0, true, endpoints), null, null, null, null, null, null, null);
    }

    private void clients() {
        Bootstrap dial = new Bootstrap().group(loop).channel(transport.client())
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
        // Guards against a machine on which nobody comes to such sockets: the start would stand still until the
        // rehearsal's whole time is over, and in a release most of a fleet starts at once.
        if (transport != Transport.PROCESS) {
            loop.schedule(() -> {
                if (asked == 0) {
                    done.complete(false);
                }
            }, FIRST_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Far sides know each other's words and so need no codec, whose own warming would only cost time: what
     * they send ends in a mark, and nothing follows before it has its answer.
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

        /** A connection that breaks ends its part of the rehearsal, whose time is bounded. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        abstract boolean isWhole(int first, int last, ByteBuf end);

        abstract void came(ChannelHandlerContext ctx);

        static void write(ChannelHandlerContext ctx, String head, byte[] body) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer((head + "\r\n").getBytes(StandardCharsets.US_ASCII), body));
        }
    }

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

        /** A host's body ends in the mark; the gateway's own line ends in a bare line feed, which no head does. */
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

    /** Serves nearly all, and shows the gateway the other ends that an attempt can have. */
    private static final class Host extends FarSide {
        private static final int FULL_EVERY = 37, ERROR_EVERY = 53;
        private static final String REST = "Content-Length: " + BODY.length + "\r\nX-Server-Load: tps=";

        private int requests;

        /** A POST has a body, which ends in the mark; a GET ends with its head. */
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
