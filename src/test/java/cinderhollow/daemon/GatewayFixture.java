package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.Json;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.testing.Await;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.EventExecutor;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/** A gateway on a free loopback port, with its discovery and with clients that connect to it. */
final class GatewayFixture implements AutoCloseable {
    static final int TIMEOUT_MILLIS = 10_000;
    /** So long that no time-out expires in a test that isn't about time-outs. */
    static final int LONG_TIMEOUT_MILLIS = 20_000;

    static final String SETTINGS = """
            {"group_size":1,"my_number":0,"zone":"a","discovery":"subscribe","resolution_ns":1000000,
             "grades":[{"name":"status","semantics":"safe","aim_ns":10000000000,"deadline_ns":20000000000,"value":1},
                       {"name":"submit","semantics":"unsafe","aim_ns":10000000000,"deadline_ns":20000000000,"value":5}],
             "accounts":[{"name":"acme","quota_per_s":1000.0}],
             "allowed":{"max_attempts":5,"may_cancel":true,"may_duplicate":true,"retry_after":true,
             "max_retry_after_ns":400000000,"dial_timeout_ns":2000000000,"conn_idle_ns":IDLE},
             "obligations":{"drain_grace_ns":1000000000,"ask_within_ns":10000000000,"cold_from":0.5,
                            "warm_up_ns":1000000000,"overload_factor":2.5,"overload_for_ns":1500000000}}""";

    private final MultiThreadIoEventLoopGroup group;
    private final List<Socket> clients = new ArrayList<>();
    private final ScriptedServer ownedDiscovery;
    final GatewayService gateway;
    private final InetSocketAddress address;

    /** Starts a gateway whose list has these servers, all of them up for a long time, and whose discovery reports no changes. */
    static GatewayFixture withServers(ScriptedServer... servers) throws Exception {
        return withOperatorFile(null, servers);
    }

    /** Starts the same gateway with an operator's file. */
    static GatewayFixture withOperatorFile(String operatorFile, ScriptedServer... servers) throws Exception {
        return new GatewayFixture(listUpServers(servers), createIdleDiscovery(), 60_000_000_000L, 1024, operatorFile, false);
    }

    /** Starts the same gateway with an operators' socket. */
    static GatewayFixture withOpsSocket(ScriptedServer... servers) throws Exception {
        return new GatewayFixture(listUpServers(servers), createIdleDiscovery(), 60_000_000_000L, 1024, null, true);
    }

    /** Starts the same gateway with changed settings and a given discovery. */
    static GatewayFixture withSettings(UnaryOperator<String> settings, ScriptedServer discovery, ScriptedServer... servers)
            throws Exception {
        return new GatewayFixture(settings, listUpServers(servers), discovery, 60_000_000_000L, 1024, null, false,
                System.out::println);
    }

    /**
     * Starts the same gateway with a given log, which is called on its event loop; an exception of the log is thrown in the code
     * that logs the line.
     */
    static GatewayFixture withLog(Consumer<String> log, UnaryOperator<String> settings, ScriptedServer... servers)
            throws Exception {
        return new GatewayFixture(settings, listUpServers(servers), createIdleDiscovery(), 60_000_000_000L, 1024, null, false,
                log);
    }

    private static String listUpServers(ScriptedServer... servers) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < servers.length; i++) {
            entries.add(endpointJson("s-" + i, servers[i], "up", 0));
        }
        return endpointListJson(1, true, entries);
    }

    /** Starts a gateway with these values; {@link #close} closes its discovery too. */
    GatewayFixture(String knownList, ScriptedServer discovery, long idleTimeoutNanos, int maxDescriptors) throws Exception {
        this(knownList, discovery, idleTimeoutNanos, maxDescriptors, null, false);
    }

    /** Starts a gateway with these values and an operator's file. */
    GatewayFixture(String knownList, ScriptedServer discovery, long idleTimeoutNanos, int maxDescriptors, String operatorFile)
            throws Exception {
        this(knownList, discovery, idleTimeoutNanos, maxDescriptors, operatorFile, false);
    }

    private GatewayFixture(String knownList, ScriptedServer discovery, long idleTimeoutNanos, int maxDescriptors,
            String operatorFile,
                           boolean opsSocketEnabled) throws Exception {
        this(UnaryOperator.identity(), knownList, discovery, idleTimeoutNanos, maxDescriptors, operatorFile, opsSocketEnabled,
                System.out::println);
    }

    private GatewayFixture(UnaryOperator<String> settings, String knownList, ScriptedServer discovery, long idleTimeoutNanos,
            int maxDescriptors,
                           String operatorFile, boolean opsSocketEnabled, Consumer<String> log) throws Exception {
        ownedDiscovery = discovery;
        String configJson = "{\"seed\":\"2a\",\"limits\":{\"sockets\":" + maxDescriptors + "},\"known\":" + knownList
                + ",\"settings\":" + settings.apply(SETTINGS).replace("IDLE", String.valueOf(idleTimeoutNanos)) + "}";
        GatewayConfig gatewayConfig = GatewayConfig.read(Json.read(configJson), new InetSocketAddress("127.0.0.1", 0),
                discovery.address(), operatorFile)
                .withOpsAddress(opsSocketEnabled ? new InetSocketAddress("127.0.0.1", 0) : null);
        group = new MultiThreadIoEventLoopGroup(GatewayDaemon.threadCount(gatewayConfig), NioIoHandler.newFactory());
        gateway = GatewayDaemon.open(group, gatewayConfig, log).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        gateway.listen().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        address = gateway.address();
        await("ready", () -> get("/ready").firstLine().contains(" 200 "));
    }

    /** Returns the event loops of the gateway. */
    List<EventExecutor> eventLoops() {
        List<EventExecutor> loops = new ArrayList<>();
        group.forEach(loops::add);
        return loops;
    }

    /** Blocks the first event loop, like that of a process that gets no CPU, until the returned task is run. */
    Runnable stallLoop() throws InterruptedException {
        return stallLoop(0);
    }

    /** Blocks the event loop with this number in the same way; where there are several, the last one accepts connections. */
    Runnable stallLoop(int loopNumber) throws InterruptedException {
        CountDownLatch loopStalled = new CountDownLatch(1);
        CountDownLatch resumeLoop = new CountDownLatch(1);
        eventLoops().get(loopNumber).execute(() -> {
            loopStalled.countDown();
            try {
                assertTrue(resumeLoop.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "the loop was not resumed in time");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(loopStalled.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        return resumeLoop::countDown;
    }

    /**
     * Blocks the first event loop between its reading of the sockets and the tasks that are due. What arrives meanwhile is not
     * read before these tasks run, as in a loop that lost its CPU in the middle of reading.
     */
    Runnable stallLoopDuringRead() throws Exception {
        CountDownLatch loopStalled = new CountDownLatch(1);
        CountDownLatch resumeLoop = new CountDownLatch(1);
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            new Bootstrap().group((EventLoop) eventLoops().get(0)).channel(NioSocketChannel.class)
                    .handler(new SimpleChannelInboundHandler<ByteBuf>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) throws InterruptedException {
                            loopStalled.countDown();
                            assertTrue(resumeLoop.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                                    "the loop was not resumed in time");
                        }
                    }).connect(listener.getLocalSocketAddress());
            Socket accepted = listener.accept();
            clients.add(accepted);
            accepted.getOutputStream().write(1);
        }
        assertTrue(loopStalled.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        return resumeLoop::countDown;
    }

    /** Returns the number of requests that the gateway has accepted and not ended. */
    long countOpenRequests() {
        return gateway.stats().join().openRequests();
    }

    static String endpointJson(String name, ScriptedServer server, String status, long sinceMillis) {
        return endpointJson(name, server.addressText(), status, sinceMillis);
    }

    static String endpointJson(String name, String address, String status, long sinceMillis) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"a\",\"type\":\"std\","
                + "\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMillis + "}";
    }

    static String endpointListJson(long index, boolean snapshot, List<String> entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
                + String.join(",", entries) + "]}";
    }

    /** Creates a discovery whose watch reports that nothing changed, and then stays open. */
    static ScriptedServer createIdleDiscovery() throws IOException {
        return new ScriptedServer((socket, request) -> {
            startWatchResponse(socket);
            sendWatchLine(socket, endpointListJson(1, false, List.of()));
        });
    }

    static void startWatchResponse(Socket socket) throws IOException {
        ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static void sendWatchLine(Socket socket, String text) throws IOException {
        ScriptedServer.write(socket, Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
    }

    static void await(String description, BooleanSupplier condition) throws Exception {
        Await.until(description, condition::getAsBoolean);
    }

    Client connectClient() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        clients.add(socket);
        return new Client(socket);
    }

    /** Returns the answer to a GET of this path on a new connection. */
    Message get(String path) {
        try {
            return connectClient().exchange("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String statusRequest(String id, int timeoutMillis) {
        return "GET /status/7?q=1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Tenant-Id: acme\r\nX-Timeout: "
                + timeoutMillis + "m\r\n\r\n";
    }

    static String submitRequest(String id, int timeoutMillis, String body) {
        return "POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Timeout: " + timeoutMillis
                + "m\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A client with one connection to the gateway. */
    static final class Client {
        final Socket socket;
        private final InputStream in;

        Client(Socket socket) throws IOException {
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream());
        }

        void write(String text) throws IOException {
            ScriptedServer.write(socket, text);
        }

        /** Returns the next answer, or null if the gateway has closed the connection. */
        Message read() throws IOException {
            return Message.read(in);
        }

        Message exchange(String request) throws IOException {
            write(request);
            return read();
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : clients) {
            socket.close();
        }
        ownedDiscovery.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(TIMEOUT_MILLIS);
    }
}
