package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.endpointJson;
import static cinderhollow.daemon.GatewayFixture.endpointListJson;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.Json;
import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gateway that starts on a listening socket on which clients have been waiting since before it existed. */
class InheritedBacklogTest {
    private static final int LEFT_CLIENTS = 400, BACKLOG = 512;
    private static final long WARM_UP_MILLIS = 300;
    private static final int DEADLINE_MILLIS = 5_000;
    /** Tolerance of the rule on forwarded deadlines. */
    private static final long DEADLINE_SLACK_MILLIS = 150;

    @TempDir
    private Path folder;
    private ScriptedServer server;
    private ScriptedServer discovery;
    private ServerSocketChannel listener;
    private MultiThreadIoEventLoopGroup group;

    @BeforeEach
    void openListener() throws IOException {
        server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
        discovery = GatewayFixture.createIdleDiscovery();
        listener = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG);
    }

    @AfterEach
    void close() throws IOException {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(TIMEOUT_MILLIS);
        listener.close();
        discovery.close();
        server.close();
    }

    private Client connect() throws IOException {
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), listener.socket().getLocalPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return new Client(socket);
    }

    /** Starts a gateway with this number of event loops on the listener. */
    private void startGateway(int loops, InheritedListener inherited) throws Exception {
        Path operatorFile = Files.writeString(folder.resolve("operator.toml"), "[gateway]\nloops = " + loops + "\n");
        String configJson = "{\"seed\":\"2a\",\"limits\":{\"sockets\":1024},\"known\":"
                + endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0)))
                + ",\"settings\":" + GatewayFixture.SETTINGS.replace("IDLE", "60000000000") + "}";
        GatewayConfig config = withListener(GatewayConfig.read(Json.read(configJson), new InetSocketAddress("127.0.0.1", 0),
                discovery.address(), loops == 1 ? null : operatorFile.toString()), inherited);
        group = new MultiThreadIoEventLoopGroup(GatewayDaemon.threadCount(config), NioIoHandler.newFactory());
        GatewayService gateway = GatewayDaemon.open(group, config, System.out::println)
                .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        // A process listens only after its warm-up; by then its event loops have been on time for a while.
        group.next().schedule(() -> { }, WARM_UP_MILLIS, TimeUnit.MILLISECONDS).sync();
        gateway.listen().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static GatewayConfig withListener(GatewayConfig c, InheritedListener inherited) {
        return new GatewayConfig(c.listenAddress(), c.discoveryAddress(), c.seed(), c.maxDescriptors(), c.dialTimeoutNanos(),
                c.idleTimeoutNanos(), c.settings(), c.knownEndpoints(), c.routes(), c.eventLoops(), c.ledger(), c.adminAddress(),
                c.peering(), c.opsAddress(), inherited);
    }

    /** Accepts the first connection right away, as the adoption of a platform's listener does. */
    private InheritedListener adopt() throws IOException {
        listener.configureBlocking(false);
        SocketChannel first = listener.accept();
        return new InheritedListener(listener, first, System.nanoTime(), null);
    }

    private void assertNoneReachedTheServer(String idPrefix) throws IOException {
        assertTrue(connect().exchange(statusRequest("last", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
        List<String> sent = server.requests.stream().map(request -> request.header("X-Request-ID"))
                .filter(id -> id.startsWith(idPrefix)).toList();
        assertEquals(List.of(), sent);
    }

    /**
     * Guards against unsafe requests that run after their clients have gone: the clients left while no process was there to
     * accept them, one of them after the new process had accepted it and before it served.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void aRequestIsNotForwardedWhoseClientLeftBeforeTheProcessServed(int loops) throws Exception {
        for (int i = 0; i < LEFT_CLIENTS; i++) {
            Client client = connect();
            client.write(submitRequest("left-" + i, LONG_TIMEOUT_MILLIS, "x"));
            client.socket.close();
        }
        Client waitingClient = connect();
        waitingClient.write(submitRequest("waits", LONG_TIMEOUT_MILLIS, "x"));
        startGateway(loops, adopt());
        assertEquals("served", waitingClient.read().body());
        assertNoneReachedTheServer("left");
    }

    /** Guards against the same behind a request that is answered at once, before the sockets are polled again. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void aPipelinedRequestIsNotForwardedWhoseClientLeftBeforeTheProcessServed(int loops) throws Exception {
        for (int i = 0; i < LEFT_CLIENTS; i++) {
            Client client = connect();
            client.write("GET /unknown HTTP/1.1\r\nHost: x\r\nX-Request-ID: unknown-" + i + "\r\n\r\n"
                    + submitRequest("left-" + i, LONG_TIMEOUT_MILLIS, "x"));
            client.socket.close();
        }
        startGateway(loops, adopt());
        assertNoneReachedTheServer("left");
    }

    /**
     * Guards against requests whose time counts anew from their accept: servers were told of time that was over. A client that
     * comes later has its whole time.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void theForwardedDeadlineIsWhatTheClientHasLeftSinceTheListenerWasAdopted(int loops) throws Exception {
        List<Client> waitingClients = List.of(connect(), connect());
        for (Client client : waitingClients) {
            client.write(statusRequest("waited-" + waitingClients.indexOf(client), DEADLINE_MILLIS));
        }
        startGateway(loops, adopt());
        for (Client client : waitingClients) {
            assertEquals("served", client.read().body());
        }
        assertEquals("served", connect().exchange(statusRequest("new", DEADLINE_MILLIS)).body());
        for (Message request : server.requests) {
            boolean isNew = request.header("X-Request-ID").equals("new");
            long micros = Long.parseLong(request.header("X-Timeout").replace("u", ""));
            long maxMillis = isNew ? DEADLINE_MILLIS : DEADLINE_MILLIS - WARM_UP_MILLIS + DEADLINE_SLACK_MILLIS;
            long minMillis = isNew ? DEADLINE_MILLIS - DEADLINE_SLACK_MILLIS : 0;
            long forwardedMillis = TimeUnit.MICROSECONDS.toMillis(micros);
            assertTrue(forwardedMillis >= minMillis && forwardedMillis <= maxMillis, request.headers().toString());
        }
    }
}
