package cinderhollow.lab;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures the throughput, latency and CPU time of one gateway process, with closed-loop clients and nodes that answer at once.
 * Several nodes may share a listener, since what a long list costs the gateway depends on its names.
 */
public final class LoadBenchmark implements AutoCloseable {
    /** What is measured: a gateway, a relay of bytes, or a relay that decodes and encodes the HTTP messages that it forwards. */
    public enum Target {
        GATEWAY("gateway"), RELAY("bare relay"), CODEC("relay with codec");

        private final String description;

        Target(String description) {
            this.description = description;
        }

        /** Returns the name in the result. */
        @Override
        public String toString() {
            return description;
        }
    }

    private static final int MAX_LISTENERS = 50, EVENT_LOOPS = 3, MAX_DESCRIPTORS = 16_384;
    private static final int MAX_BODY_BYTES = 64 * 1024, START_TIMEOUT_MILLIS = 30_000, SHUTDOWN_TIMEOUT_MILLIS = 6_000;
    private static final long MAX_LATENCY_MICROS = TimeUnit.SECONDS.toMicros(60);
    private static final byte[] NODE_ANSWER = ("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n"
            + "X-Server-Load: qps=100,util=0.5,eps=0\r\n\r\n" + "a".repeat(20)).getBytes(StandardCharsets.US_ASCII);
    private static final String REQUEST_BODY = "q".repeat(200);

    private final int nodes;
    private final int connections;
    private final Target target;
    private final int changesPerSecond;
    private final String cpuList;
    private final String operatorFile;
    private final List<String> jvmFlags;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private volatile Process measuredProcess;
    private volatile boolean recording;
    private boolean closed;

    /**
     * Prepares a measurement of a gateway or a relay. {@code cpuList} names the cores that the process may use, and
     * {@code operatorFile} is the path of its operator's file; both may be null. Discovery sends {@code changesPerSecond} changes
     * of the list a second, or none if that is 0.
     *
     * @throws IllegalArgumentException if the number of nodes or connections is out of range
     */
    public LoadBenchmark(int nodes, int connections, Target target, int changesPerSecond, String cpuList, String operatorFile,
            List<String> jvmFlags)
            throws IOException {
        if (nodes < 1 || nodes > 100_000 || connections < 1 || connections > 5_000) {
            throw new IllegalArgumentException("the number of nodes must be 1 to 100000, and that of connections 1 to 5000");
        }
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        this.nodes = nodes;
        this.connections = connections;
        this.target = target;
        this.changesPerSecond = changesPerSecond;
        this.cpuList = cpuList;
        this.operatorFile = operatorFile;
        this.jvmFlags = jvmFlags;
        folder = Files.createTempDirectory("cinderhollow-load");
    }

    /** Warms up, measures for this many seconds, and returns the result as one line for people. */
    public String run(int warmUpSeconds, int seconds) throws IOException, InterruptedException, ExecutionException {
        List<InetSocketAddress> listeners = new ArrayList<>();
        for (int i = 0; i < Math.min(nodes, MAX_LISTENERS); i++) {
            listeners.add(startNode());
        }
        int port = Ports.allocate();
        start(port, listeners);
        awaitListening(port);
        List<ClosedLoopClient> clients = new ArrayList<>();
        Bootstrap bootstrap = new Bootstrap().channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true);
        for (int i = 0; i < connections; i++) {
            ClosedLoopClient client = new ClosedLoopClient(i, bootstrap, port);
            clients.add(client);
            client.connect();
        }
        TimeUnit.SECONDS.sleep(warmUpSeconds);
        Duration cpuTimeBefore = measuredProcess.info().totalCpuDuration().orElse(Duration.ZERO);
        long startNanos = System.nanoTime();
        recording = true;
        TimeUnit.SECONDS.sleep(seconds);
        recording = false;
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        Duration cpuTimeAfter = measuredProcess.info().totalCpuDuration().orElse(Duration.ZERO);
        return formatResult(clients, elapsedSeconds, cpuTimeAfter.minus(cpuTimeBefore));
    }

    private String formatResult(List<ClosedLoopClient> clients, double elapsedSeconds, Duration cpuTime)
            throws InterruptedException, ExecutionException {
        Histogram latencies = new Histogram(MAX_LATENCY_MICROS, 2);
        long served = 0;
        long notServed = 0;
        for (ClosedLoopClient client : clients) {
            latencies.add(client.loop.submit(() -> client.latencyMicros.copy()).get());
            served += client.served;
            notServed += client.notServed;
        }
        return String.format(Locale.ROOT, "%s, %d nodes, %d connections: %.0f a second, p50 %.2f ms, p99 %.2f ms, "
                + "most %.2f ms, CPU %.1f us a request, %d of %d not served", target, nodes, connections,
                (served + notServed) / elapsedSeconds, latencies.getValueAtPercentile(50) / 1e3,
                latencies.getValueAtPercentile(99) / 1e3, latencies.getMaxValue() / 1e3,
                cpuTime.toNanos() / 1e3 / Math.max(1, served + notServed), notServed, served + notServed);
    }

    private void start(int port, List<InetSocketAddress> listeners) throws IOException {
        List<String> command = new ArrayList<>();
        if (cpuList != null) {
            command.addAll(List.of("taskset", "-c", cpuList));
        }
        command.addAll(GatewayProcess.javaCommand(jvmFlags, folder));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        if (target != Target.GATEWAY) {
            command.addAll(List.of("lab", "relay", "--listen", String.valueOf(port), "--to",
                    String.valueOf(listeners.get(0).getPort())));
            if (target == Target.CODEC) {
                command.add("--codec");
            }
        } else {
            command.add("serve");
            Path config = folder.resolve("config.json");
            Files.writeString(config, StandInDiscovery.toJson(buildConfig(listeners)));
            // Without changes no discovery is needed, since the configuration has the whole list: nothing listens on this port.
            String discovery = changesPerSecond == 0 ? "127.0.0.1:1"
                    : StandInDiscovery.formatAddress(startChangingDiscovery(listeners));
            builder.environment().putAll(Map.of("LB_LISTEN", "127.0.0.1:" + port, "LB_DISCOVERY", discovery,
                    "LB_CONFIG", config.toString()));
            if (operatorFile != null) {
                builder.environment().put("LB_OPERATOR", operatorFile);
            }
        }
        measuredProcess = builder.start();
    }

    private Map<String, Object> buildConfig(List<InetSocketAddress> listeners) {
        FleetConfig fleetConfig = FleetConfig.withDefaults(nodes, 1, 1, 1, 1);
        List<Map<String, Object>> endpoints = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            endpoints.add(buildEndpoint(i, listeners, "up"));
        }
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("seed", "2a");
        config.put("limits", Map.of("sockets", MAX_DESCRIPTORS));
        config.put("known", Map.of("index", 1, "snapshot", true, "endpoints", endpoints));
        config.put("settings", fleetConfig.settings(0));
        return config;
    }

    private static Map<String, Object> buildEndpoint(int number, List<InetSocketAddress> listeners, String status) {
        return Map.of("name", LabNames.nodeName(number), "address",
                StandInDiscovery.formatAddress(listeners.get(number % listeners.size())), "zone", "ostim", "type", "std",
                "group", 0, "status", status, "weight", 1.0, "since_ms", 0);
    }

    /** Starts a discovery that sets one node after the other to draining, and the previous one back to up. */
    private InetSocketAddress startChangingDiscovery(List<InetSocketAddress> listeners) throws IOException {
        try {
            return (InetSocketAddress) new ServerBootstrap().group(loops).channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpRequestDecoder(), new HttpObjectAggregator(MAX_BODY_BYTES),
                                    new ListChangeHandler(listeners));
                        }
                    }).bind("127.0.0.1", 0).sync().channel().localAddress();
        } catch (InterruptedException e) {
            throw new InterruptedIOException(e.getMessage());
        }
    }

    /** Answers a watch with list changes at a steady rate. */
    private final class ListChangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final List<InetSocketAddress> listeners;
        private int changesSent;

        ListChangeHandler(List<InetSocketAddress> listeners) {
            this.listeners = listeners;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ctx.writeAndFlush(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    StandardCharsets.US_ASCII));
            long intervalNanos = TimeUnit.SECONDS.toNanos(1) / changesPerSecond;
            ctx.executor().scheduleAtFixedRate(() -> sendChange(ctx), intervalNanos, intervalNanos, TimeUnit.NANOSECONDS);
        }

        private void sendChange(ChannelHandlerContext ctx) {
            String line = StandInDiscovery.toJson(Map.of("index", ++changesSent, "snapshot", false, "endpoints",
                    List.of(buildEndpoint(changesSent % nodes, listeners, "draining"),
                            buildEndpoint((changesSent - 1) % nodes, listeners, "up")))) + "\n";
            ctx.writeAndFlush(Unpooled.copiedBuffer(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n",
                    StandardCharsets.US_ASCII));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Starts a node that answers at once. */
    private InetSocketAddress startNode() throws InterruptedException {
        return (InetSocketAddress) new ServerBootstrap().group(loops).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpRequestDecoder(),
                                new HttpObjectAggregator(MAX_BODY_BYTES), new FixedAnswerHandler());
                    }
                }).bind("127.0.0.1", 0).sync().channel().localAddress();
    }

    /** Answers each request at once with a fixed answer. */
    private static final class FixedAnswerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ctx.writeAndFlush(Unpooled.wrappedBuffer(NODE_ANSWER));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void awaitListening(int port) throws InterruptedException, IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
        while (true) {
            try {
                new Socket(InetAddress.getLoopbackAddress(), port).close();
                return;
            } catch (IOException e) {
                if (!measuredProcess.isAlive() || System.nanoTime() > deadlineNanos) {
                    throw new IOException("the process to be measured did not start listening; its log: "
                            + Files.readString(folder.resolve("log")), e);
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
    }

    /** A closed-loop client: it sends the next request as soon as it is answered. */
    private final class ClosedLoopClient extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int number;
        private final Bootstrap bootstrap;
        private final int port;
        private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 2);
        private volatile EventLoop loop;
        private volatile long served;
        private volatile long notServed;
        private long requestsSent;
        private long sentAtNanos;

        ClosedLoopClient(int number, Bootstrap bootstrap, int port) {
            this.number = number;
            this.bootstrap = bootstrap;
            this.port = port;
            loop = loops.next();
        }

        @Override
        public boolean isSharable() {
            return true;
        }

        void connect() {
            bootstrap.clone().group(loop).handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpResponseDecoder(), new HttpObjectAggregator(MAX_BODY_BYTES),
                            ClosedLoopClient.this);
                }
            }).connect("127.0.0.1", port);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendRequest(ctx);
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            boolean safe = requestsSent++ % 2 == 0;
            String head = (safe ? "GET /status/7" : "POST /submit") + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + number
                    + "." + requestsSent + "\r\nX-Timeout: 20000m\r\n"
                    + (safe ? "\r\n" : "Content-Length: " + REQUEST_BODY.length()
                    + "\r\n\r\n" + REQUEST_BODY);
            sentAtNanos = System.nanoTime();
            ctx.writeAndFlush(Unpooled.copiedBuffer(head, StandardCharsets.US_ASCII));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (recording) {
                latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS,
                        TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentAtNanos)));
                boolean ok = answer.status().code() == 200;
                served += ok ? 1 : 0;
                notServed += ok ? 0 : 1;
            }
            if (HttpUtil.isKeepAlive(answer)) {
                sendRequest(ctx);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!loops.isShuttingDown()) {
                connect();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /**
     * Starts a relay that forwards each connection to {@code listenPort} over a connection of its own to {@code nodePort}, on one
     * event loop, until the process exits. With {@code codec} it decodes and encodes the HTTP messages on their way.
     */
    public static void relay(int listenPort, int nodePort, boolean codec) throws InterruptedException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        MultiThreadIoEventLoopGroup loopGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        new ServerBootstrap().group(loopGroup).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        Channel node = new Bootstrap().group(client.eventLoop()).channel(NioSocketChannel.class)
                                .option(ChannelOption.TCP_NODELAY, true).handler(new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        if (codec) {
                                            channel.pipeline().addLast(new HttpClientCodec(),
                                                    new HttpObjectAggregator(MAX_BODY_BYTES));
                                        }
                                        channel.pipeline().addLast(new ForwardingHandler(client));
                                    }
                                })
                                .connect("127.0.0.1", nodePort).addListener(up -> client.config().setAutoRead(up.isSuccess()))
                                .channel();
                        if (codec) {
                            client.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES));
                        }
                        client.pipeline().addLast(new ForwardingHandler(node));
                    }
                }).bind("127.0.0.1", listenPort).sync();
    }

    /** Forwards what it reads to the other connection, and closes that when its own is closed. */
    private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {
        private final Channel otherChannel;

        ForwardingHandler(Channel otherChannel) {
            this.otherChannel = otherChannel;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            otherChannel.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            otherChannel.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Ends the measured process, closes all sockets and deletes the folder. Further calls do nothing. */
    @Override
    public void close() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        try {
            if (measuredProcess != null) {
                measuredProcess.destroy();
                if (!measuredProcess.waitFor(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                    measuredProcess.destroyForcibly().waitFor();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loops.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        Lab.deleteFolder(folder);
    }
}
