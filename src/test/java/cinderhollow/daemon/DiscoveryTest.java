package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.Json;
import cinderhollow.core.Transport;
import cinderhollow.membership.Discovery;
import cinderhollow.membership.EndpointList;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The end of a watch is reported exactly once, whatever discovery does. */
class DiscoveryTest {
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() throws InterruptedException {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(GatewayFixture.PATIENCE_MILLIS);
    }

    private final List<String> log = new CopyOnWriteArrayList<>();

    private Discovery watch(ScriptedHost server) {
        return watch(server, 2000);
    }

    private Discovery watch(ScriptedHost server, long silenceMillis) {
        Discovery discovery = new Discovery(group.next(), Transport.TCP, server.address(), 7, silenceMillis,
                Discovery.MAX_LIST_BYTES, new Discovery.Listener() {
            @Override
            public void listReceived(EndpointList list) {
                told.add("listed " + list.index());
            }

            @Override
            public void watchEnded() {
                told.add("failed");
            }
        }, log::add);
        group.next().execute(discovery::watch);
        return discovery;
    }

    private String next() throws InterruptedException {
        return told.poll(GatewayFixture.PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A machine that disappeared leaves its connections open and sends nothing. */
    @Test
    void aSilentWatchIsBroken() throws Exception {
        try (ScriptedHost server = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            GatewayFixture.line(socket, GatewayFixture.list(8, false, List.of()));
        })) {
            watch(server);
            assertEquals("listed 8", next());
            assertEquals("failed", next());
            assertTrue(told.isEmpty());
            assertEquals(List.of("discovery: version 8 changes, 0 endpoints", "discovery: the watch at "
                    + server.address() + " has ended: no data within the read timeout"), log);
        }
    }

    @Test
    void anAnswerOtherThan200AFailedDialAndALineThatCannotBeReadAreFailures() throws Exception {
        try (ScriptedHost server = new ScriptedHost(ScriptedHost.reply("503 Service Unavailable", "busy"))) {
            watch(server);
            assertEquals("failed", next());
            server.script((socket, request) -> {
                GatewayFixture.startWatch(socket);
                GatewayFixture.line(socket, "{\"index\":9,\"endpoints\":[{\"name\":\"s\"}]}");
            });
            watch(server);
            assertEquals("failed", next());
            // The same holds for lines that are parsed on another thread, and for a line that is too long.
            for (String line : List.of("x".repeat(1 << 17), "[".repeat(1 << 17), "{\"a\":1}" + " ".repeat(1 << 17),
                    " ".repeat(Discovery.MAX_LIST_BYTES + 1))) {
                server.script((socket, request) -> {
                    GatewayFixture.startWatch(socket);
                    GatewayFixture.line(socket, line);
                });
                watch(server);
                assertEquals("failed", next());
            }
            server.stop();
            watch(server);
            assertEquals("failed", next());
            assertTrue(told.isEmpty());
        }
    }

    /** A list that is laid out over several lines and split anywhere ends with its last bracket, not with the end of a line. */
    @Test
    void listsMayComeIndentedOverManyLinesAndInPieces() throws Exception {
        try (ScriptedHost server = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            String text = "\n{\n  \"index\": 8,\n  \"snapshot\": false,\n  \"endpoints\": [\n    {\n      \"name\": \"a}{\\\"[\",\n"
                    + "      \"address\": \"127.0.0.1:1\",\n      \"status\": \"up\"\n    }\n  ]\n}\n\n"
                    + "{\n\t\"index\": 9, \"endpoints\": []\n}\n{\"index\":10,\"endpoints\":[]}\n";
            for (int at = 0; at < text.length(); at += 7) {
                String piece = text.substring(at, Math.min(text.length(), at + 7));
                ScriptedHost.write(socket, Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n");
            }
        })) {
            watch(server);
            assertEquals("listed 8", next());
            assertEquals("listed 9", next());
            assertEquals("listed 10", next());
        }
    }

    /** A call without any answer is ended long before one whose answer has begun and then falls silent. */
    @Test
    void aCallWithoutAnAnswerIsGivenUpSoonerThanASilentWatch() throws Exception {
        try (ScriptedHost server = new ScriptedHost((socket, request) -> { })) {
            watch(server, 10L * GatewayFixture.PATIENCE_MILLIS);
            assertEquals("failed", next());
        }
    }

    /** A new configuration with the same address starts no second call and does not restart the time-out for silence. */
    @Test
    void aSilentWatchIsBrokenThoughItsAddressIsNamedAgain() throws Exception {
        try (ScriptedHost server = new ScriptedHost((socket, request) -> GatewayFixture.startWatch(socket))) {
            Discovery discovery = watch(server);
            GatewayFixture.await("the call", () -> server.requests.size() == 1);
            group.next().submit(() -> discovery.moveTo(server.address())).get();
            assertEquals("failed", next());
            assertEquals(1, server.requests.size());
        }
    }

    /** Every byte shows that discovery is alive, but the list that the bytes belong to is never completed. */
    @Test
    void aListThatTricklesInWithoutAnEndIsBrokenOff() throws Exception {
        try (ScriptedHost server = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            ScriptedHost.write(socket, "e\r\n{\"index\":8,\"a\"\r\n");
            long begin = System.nanoTime();
            for (long at = begin; at - begin < TimeUnit.SECONDS.toNanos(60); at = System.nanoTime()) {
                // Throws once the gateway has closed the connection.
                ScriptedHost.write(socket, "1\r\n \r\n");
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
            }
        })) {
            watch(server);
            assertEquals("failed", next());
        }
    }

    /** After a change of the address the decision module may still request a watch, because of a failure before the change. */
    @Test
    void askingAgainWhileAWatchIsOnItsWayOpensNoSecondOne() throws Exception {
        try (ScriptedHost server = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            GatewayFixture.line(socket, GatewayFixture.list(8, false, List.of()));
        }); ScriptedHost next = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            GatewayFixture.line(socket, GatewayFixture.list(3, false, List.of()));
        })) {
            Discovery discovery = watch(server);
            assertEquals("listed 8", next());
            group.next().execute(() -> {
                discovery.moveTo(next.address());
                discovery.watch();
            });
            assertEquals("listed 3", next());
            // Connections are accepted in order, so a second watch would have been accepted before this connection.
            try (Socket last = new Socket(next.address().getAddress(), next.address().getPort())) {
                GatewayFixture.await("the test's own connection", () -> next.connections.stream()
                        .anyMatch(c -> c.getPort() == last.getLocalPort()));
                assertEquals(2, next.connections.size());
            }
        }
    }

    /** Guards against a slow start: discovery must be called first, and the other work of the start be done during that call. */
    @Test
    void aGatewayAsksBeforeItListens() throws Exception {
        InetSocketAddress anywhere = new InetSocketAddress("127.0.0.1", 0);
        Json config = Json.read("{\"seed\":\"2a\",\"settings\":" + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}");
        try (ScriptedHost server = GatewayFixture.quietDiscovery()) {
            Gateway gateway = Gateway.open(group.next(), GatewayConfig.read(config, anywhere, server.address(), null),
                    Transport.TCP, line -> { }).get(GatewayFixture.PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            GatewayFixture.await("the watch", () -> server.requests.size() == 1);
            gateway.listen().get(GatewayFixture.PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            try (Socket client = new Socket("127.0.0.1", gateway.address().getPort())) {
                ScriptedHost.write(client, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
                assertTrue(ScriptedHost.Message.read(client.getInputStream()).firstLine().startsWith("HTTP/1.1 "));
            }
        }
    }

    /**
     * Where an agent pushes lists, the gateway must watch the agent; without a watch the gateway would keep its first list and
     * never become ready.
     */
    @Test
    void aPushedListIsWatchedAndAskedForAgainWhenTheAgentBreaksOff() throws Exception {
        InetSocketAddress anywhere = new InetSocketAddress("127.0.0.1", 0);
        String settings = GatewayFixture.SETTINGS.replace("IDLE", "15000000000");
        String pushed = settings.replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"");
        assertTrue(!pushed.equals(settings), settings);
        try (ScriptedHost agent = new ScriptedHost((socket, request) -> ScriptedHost.reset(socket))) {
            Json config = Json.read("{\"seed\":\"2a\",\"settings\":" + pushed + "}");
            Gateway gateway = Gateway.start(group.next(), GatewayConfig.read(config, anywhere, agent.address(), null),
                    Transport.TCP, line -> { }).get(GatewayFixture.PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            GatewayFixture.await("three watches", () -> agent.requests.size() >= 3);
            agent.script((socket, request) -> {
                GatewayFixture.startWatch(socket);
                GatewayFixture.line(socket, GatewayFixture.list(8, false, List.of()));
            });
            GatewayFixture.await("a watch that lasts", () -> agent.requests.stream()
                    .filter(r -> r.firstLine().contains("follow=1")).count() >= 4);
            try (Socket client = new Socket("127.0.0.1", gateway.address().getPort())) {
                ScriptedHost.write(client, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
                assertTrue(ScriptedHost.Message.read(client.getInputStream()).firstLine().startsWith("HTTP/1.1 200"));
            }
        }
    }
}
