package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.Json;
import cinderhollow.daemon.ScriptedHost.Message;
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
    static final int PATIENCE_MILLIS = 10_000;
    /** So long that no time-out expires in a test that isn't about time-outs. */
    static final int LONG_MILLIS = 20_000;

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
    private final ScriptedHost ownDiscovery;
    final GatewayService gateway;
    private final InetSocketAddress address;

    /** Starts a gateway whose list has these servers, all of them up for a long time, and whose discovery reports no changes. */
    static GatewayFixture knowing(ScriptedHost... hosts) throws Exception {
        return governed(null, hosts);
    }

    /** Starts the same gateway with an operator's file. */
    static GatewayFixture governed(String operator, ScriptedHost... hosts) throws Exception {
        return new GatewayFixture(upFor(hosts), quietDiscovery(), 60_000_000_000L, 1024, operator, false);
    }

    /** Starts the same gateway with an operators' socket. */
    static GatewayFixture asked(ScriptedHost... hosts) throws Exception {
        return new GatewayFixture(upFor(hosts), quietDiscovery(), 60_000_000_000L, 1024, null, true);
    }

    /** Starts the same gateway with changed settings and a given discovery. */
    static GatewayFixture tuned(UnaryOperator<String> settings, ScriptedHost discovery, ScriptedHost... hosts) throws Exception {
        return new GatewayFixture(settings, upFor(hosts), discovery, 60_000_000_000L, 1024, null, false, System.out::println);
    }

    /**
     * Starts the same gateway with a given log, which is called on its event loop; an exception of the log is thrown in the code
     * that logs the line.
     */
    static GatewayFixture logging(Consumer<String> log, UnaryOperator<String> settings, ScriptedHost... hosts) throws Exception {
        return new GatewayFixture(settings, upFor(hosts), quietDiscovery(), 60_000_000_000L, 1024, null, false, log);
    }

    private static String upFor(ScriptedHost... hosts) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < hosts.length; i++) {
            entries.add(entry("s-" + i, hosts[i], "up", 0));
        }
        return list(1, true, entries);
    }

    /** Starts a gateway with these values; {@link #close} closes its discovery too. */
    GatewayFixture(String known, ScriptedHost discovery, long idleNanos, int sockets) throws Exception {
        this(known, discovery, idleNanos, sockets, null, false);
    }

    /** Starts a gateway with these values and an operator's file. */
    GatewayFixture(String known, ScriptedHost discovery, long idleNanos, int sockets, String operator)
            throws Exception {
        this(known, discovery, idleNanos, sockets, operator, false);
    }

    private GatewayFixture(String known, ScriptedHost discovery, long idleNanos, int sockets, String operator,
                           boolean door) throws Exception {
        this(UnaryOperator.identity(), known, discovery, idleNanos, sockets, operator, door, System.out::println);
    }

    private GatewayFixture(UnaryOperator<String> settings, String known, ScriptedHost discovery, long idleNanos, int sockets,
                           String operator, boolean door, Consumer<String> log) throws Exception {
        ownDiscovery = discovery;
        String config = "{\"seed\":\"2a\",\"limits\":{\"sockets\":" + sockets + "},\"known\":" + known
                + ",\"settings\":" + settings.apply(SETTINGS).replace("IDLE", String.valueOf(idleNanos)) + "}";
        GatewayConfig read = GatewayConfig.read(Json.read(config), new InetSocketAddress("127.0.0.1", 0),
                discovery.address(), operator)
                .withOpsAddress(door ? new InetSocketAddress("127.0.0.1", 0) : null);
        group = new MultiThreadIoEventLoopGroup(GatewayDaemon.threadCount(read), NioIoHandler.newFactory());
        gateway = GatewayDaemon.open(group, read, log).get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        gateway.listen().get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        address = gateway.address();
        await("ready", () -> get("/ready").firstLine().contains(" 200 "));
    }

    /** Returns the event loops of the gateway. */
    List<EventExecutor> loops() {
        List<EventExecutor> loops = new ArrayList<>();
        group.forEach(loops::add);
        return loops;
    }

    /** Blocks the first event loop, like that of a process that gets no CPU, until the returned task is run. */
    Runnable holdLoop() throws InterruptedException {
        return holdLoop(0);
    }

    /** Blocks the event loop with this number in the same way; where there are several, the last one accepts connections. */
    Runnable holdLoop(int number) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        loops().get(number).execute(() -> {
            held.countDown();
            try {
                assertTrue(goOn.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), "the loop was not resumed in time");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(held.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
        return goOn::countDown;
    }

    /**
     * Blocks the first event loop between its reading of the sockets and the tasks that are due. What arrives meanwhile is not
     * read before these tasks run, as in a loop that lost its CPU in the middle of reading.
     */
    Runnable holdLoopAtItsSockets() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        try (ServerSocket far = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            new Bootstrap().group((EventLoop) loops().get(0)).channel(NioSocketChannel.class)
                    .handler(new SimpleChannelInboundHandler<ByteBuf>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) throws InterruptedException {
                            held.countDown();
                            assertTrue(goOn.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), "the loop was not resumed in time");
                        }
                    }).connect(far.getLocalSocketAddress());
            Socket near = far.accept();
            clients.add(near);
            near.getOutputStream().write(1);
        }
        assertTrue(held.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
        return goOn::countDown;
    }

    /** Returns the number of requests that the gateway has accepted and not ended. */
    long open() {
        return gateway.stats().join().openRequests();
    }

    static String entry(String name, ScriptedHost host, String status, long sinceMillis) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + host.addressText() + "\",\"zone\":\"a\",\"type\":\"std\","
                + "\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMillis + "}";
    }

    static String list(long index, boolean snapshot, List<String> entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
                + String.join(",", entries) + "]}";
    }

    /** Creates a discovery whose watch reports that nothing changed, and then stays open. */
    static ScriptedHost quietDiscovery() throws IOException {
        return new ScriptedHost((socket, request) -> {
            startWatch(socket);
            line(socket, list(1, false, List.of()));
        });
    }

    static void startWatch(Socket socket) throws IOException {
        ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static void line(Socket socket, String text) throws IOException {
        ScriptedHost.write(socket, Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
    }

    static void await(String what, BooleanSupplier condition) throws Exception {
        Await.until(what, condition::getAsBoolean);
    }

    Client client() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(PATIENCE_MILLIS);
        clients.add(socket);
        return new Client(socket);
    }

    /** Returns the answer to a GET of this path on a new connection. */
    Message get(String path) {
        try {
            return client().ask("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String status(String id, int timeoutMillis) {
        return "GET /status/7?q=1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Tenant-Id: acme\r\nX-Timeout: "
                + timeoutMillis + "m\r\n\r\n";
    }

    static String submit(String id, int timeoutMillis, String body) {
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
            ScriptedHost.write(socket, text);
        }

        /** Returns the next answer, or null if the gateway has closed the connection. */
        Message read() throws IOException {
            return Message.read(in);
        }

        Message ask(String request) throws IOException {
            write(request);
            return read();
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : clients) {
            socket.close();
        }
        ownDiscovery.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(PATIENCE_MILLIS);
    }
}
