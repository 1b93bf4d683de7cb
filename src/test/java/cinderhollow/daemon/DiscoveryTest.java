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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The end of a watch is reported exactly once, whatever discovery does. */
class DiscoveryTest {
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() throws InterruptedException {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(GatewayFixture.TIMEOUT_MILLIS);
    }

    private final List<String> logLines = new CopyOnWriteArrayList<>();

    private Discovery startWatch(ScriptedServer discoveryServer) {
        return startWatch(discoveryServer, 2000);
    }

    private Discovery startWatch(ScriptedServer discoveryServer, long silenceMillis) {
        Discovery discovery = new Discovery(group.next(), Transport.TCP, discoveryServer.address(), 7, silenceMillis,
                Discovery.MAX_LIST_BYTES, new Discovery.Listener() {
            @Override
            public void listReceived(EndpointList list) {
                events.add("listed " + list.index());
            }

            @Override
            public void watchEnded() {
                events.add("failed");
            }
        }, logLines::add);
        group.next().execute(discovery::watch);
        return discovery;
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(GatewayFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A machine that disappeared leaves its connections open and sends nothing. */
    @Test
    void aSilentWatchIsBroken() throws Exception {
        try (ScriptedServer discoveryServer = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            GatewayFixture.sendWatchLine(socket, GatewayFixture.endpointListJson(8, false, List.of()));
        })) {
            startWatch(discoveryServer);
            assertEquals("listed 8", nextEvent());
            assertEquals("failed", nextEvent());
            assertTrue(events.isEmpty());
            assertEquals(List.of("discovery: version 8 changes, 0 endpoints", "discovery: the watch at "
                    + discoveryServer.address() + " has ended: no data within the read timeout"), logLines);
        }
    }

    @Test
    void anAnswerOtherThan200AFailedDialAndALineThatCannotBeReadAreFailures() throws Exception {
        try (ScriptedServer discoveryServer = new ScriptedServer(ScriptedServer.reply("503 Service Unavailable", "busy"))) {
            startWatch(discoveryServer);
            assertEquals("failed", nextEvent());
            discoveryServer.setScript((socket, request) -> {
                GatewayFixture.startWatchResponse(socket);
                GatewayFixture.sendWatchLine(socket, "{\"index\":9,\"endpoints\":[{\"name\":\"s\"}]}");
            });
            startWatch(discoveryServer);
            assertEquals("failed", nextEvent());
            // The same holds for lines that are parsed on another thread, and for a line that is too long.
            for (String line : List.of("x".repeat(1 << 17), "[".repeat(1 << 17), "{\"a\":1}" + " ".repeat(1 << 17),
                    " ".repeat(Discovery.MAX_LIST_BYTES + 1))) {
                discoveryServer.setScript((socket, request) -> {
                    GatewayFixture.startWatchResponse(socket);
                    GatewayFixture.sendWatchLine(socket, line);
                });
                startWatch(discoveryServer);
                assertEquals("failed", nextEvent());
            }
            discoveryServer.stop();
            startWatch(discoveryServer);
            assertEquals("failed", nextEvent());
            assertTrue(events.isEmpty());
        }
    }

    /** A list that is laid out over several lines and split anywhere ends with its last bracket, not with the end of a line. */
    @Test
    void listsMayComeIndentedOverManyLinesAndInPieces() throws Exception {
        try (ScriptedServer discoveryServer = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            String text = "\n{\n  \"index\": 8,\n  \"snapshot\": false,\n  \"endpoints\": [\n    {\n      \"name\": \"a}{\\\"[\",\n"
                    + "      \"address\": \"127.0.0.1:1\",\n      \"status\": \"up\"\n    }\n  ]\n}\n\n"
                    + "{\n\t\"index\": 9, \"endpoints\": []\n}\n{\"index\":10,\"endpoints\":[]}\n";
            for (int offset = 0; offset < text.length(); offset += 7) {
                String piece = text.substring(offset, Math.min(text.length(), offset + 7));
                ScriptedServer.write(socket, Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n");
            }
        })) {
            startWatch(discoveryServer);
            assertEquals("listed 8", nextEvent());
            assertEquals("listed 9", nextEvent());
            assertEquals("listed 10", nextEvent());
        }
    }

    /** A call without any answer is ended long before one whose answer has begun and then falls silent. */
    @Test
    void aCallWithoutAnAnswerIsGivenUpSoonerThanASilentWatch() throws Exception {
        try (ScriptedServer discoveryServer = new ScriptedServer((socket, request) -> { })) {
            startWatch(discoveryServer, 10L * GatewayFixture.TIMEOUT_MILLIS);
            assertEquals("failed", nextEvent());
        }
    }

    /** A new configuration with the same address starts no second call and does not restart the time-out for silence. */
    @Test
    void aSilentWatchIsBrokenThoughItsAddressIsNamedAgain() throws Exception {
        try (ScriptedServer discoveryServer =
                new ScriptedServer((socket, request) -> GatewayFixture.startWatchResponse(socket))) {
            Discovery discovery = startWatch(discoveryServer);
            GatewayFixture.await("the call", () -> discoveryServer.requests.size() == 1);
            group.next().submit(() -> discovery.moveTo(discoveryServer.address())).get();
            assertEquals("failed", nextEvent());
            assertEquals(1, discoveryServer.requests.size());
        }
    }

    /** Every byte shows that discovery is alive, but the list that the bytes belong to is never completed. */
    @Test
    void aListThatTricklesInWithoutAnEndIsBrokenOff() throws Exception {
        try (ScriptedServer discoveryServer = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            ScriptedServer.write(socket, "e\r\n{\"index\":8,\"a\"\r\n");
            long begin = System.nanoTime();
            for (long at = begin; at - begin < TimeUnit.SECONDS.toNanos(60); at = System.nanoTime()) {
                // Throws once the gateway has closed the connection.
                ScriptedServer.write(socket, "1\r\n \r\n");
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
            }
        })) {
            startWatch(discoveryServer);
            assertEquals("failed", nextEvent());
        }
    }

    /** After a change of the address the decision module may still request a watch, because of a failure before the change. */
    @Test
    void askingAgainWhileAWatchIsOnItsWayOpensNoSecondOne() throws Exception {
        try (ScriptedServer discoveryServer = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            GatewayFixture.sendWatchLine(socket, GatewayFixture.endpointListJson(8, false, List.of()));
        }); ScriptedServer newDiscoveryServer = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            GatewayFixture.sendWatchLine(socket, GatewayFixture.endpointListJson(3, false, List.of()));
        })) {
            Discovery discovery = startWatch(discoveryServer);
            assertEquals("listed 8", nextEvent());
            group.next().execute(() -> {
                discovery.moveTo(newDiscoveryServer.address());
                discovery.watch();
            });
            assertEquals("listed 3", nextEvent());
            // Connections are accepted in order, so a second watch would have been accepted before this connection.
            try (Socket probe = new Socket(newDiscoveryServer.address().getAddress(), newDiscoveryServer.address().getPort())) {
                GatewayFixture.await("the test's own connection", () -> newDiscoveryServer.connections.stream()
                        .anyMatch(c -> c.getPort() == probe.getLocalPort()));
                assertEquals(2, newDiscoveryServer.connections.size());
            }
        }
    }

    /** Guards against a slow start: discovery must be called first, and the other work of the start be done during that call. */
    @Test
    void aGatewayAsksBeforeItListens() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        Json config = Json.read("{\"seed\":\"2a\",\"settings\":" + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}");
        try (ScriptedServer discoveryServer = GatewayFixture.createIdleDiscovery()) {
            Gateway gateway = Gateway.open(group.next(), GatewayConfig.read(config, anyPort, discoveryServer.address(), null),
                    Transport.TCP, line -> { }).get(GatewayFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            GatewayFixture.await("the watch", () -> discoveryServer.requests.size() == 1);
            gateway.listen().get(GatewayFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            try (Socket client = new Socket("127.0.0.1", gateway.address().getPort())) {
                ScriptedServer.write(client, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
                assertTrue(ScriptedServer.Message.read(client.getInputStream()).firstLine().startsWith("HTTP/1.1 "));
            }
        }
    }

    /**
     * Where an agent pushes lists, the gateway must watch the agent; without a watch the gateway would keep its first list and
     * never become ready.
     */
    @Test
    void aListOfAnAgentIsWatchedAndRequestedAgainWhenTheAgentResets() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        String settings = GatewayFixture.SETTINGS.replace("IDLE", "15000000000");
        String automaticSettings = settings.replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"");
        assertTrue(!automaticSettings.equals(settings), settings);
        try (ScriptedServer agent = new ScriptedServer((socket, request) -> ScriptedServer.reset(socket))) {
            Json config = Json.read("{\"seed\":\"2a\",\"settings\":" + automaticSettings + "}");
            Gateway gateway = Gateway.start(group.next(), GatewayConfig.read(config, anyPort, agent.address(), null),
                    Transport.TCP, line -> { }).get(GatewayFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            GatewayFixture.await("three watches", () -> agent.requests.size() >= 3);
            agent.setScript((socket, request) -> {
                GatewayFixture.startWatchResponse(socket);
                GatewayFixture.sendWatchLine(socket, GatewayFixture.endpointListJson(8, false, List.of()));
            });
            GatewayFixture.await("a watch that lasts", () -> agent.requests.stream()
                    .filter(r -> r.firstLine().contains("follow=1")).count() >= 4);
            try (Socket client = new Socket("127.0.0.1", gateway.address().getPort())) {
                ScriptedServer.write(client, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
                assertTrue(ScriptedServer.Message.read(client.getInputStream()).firstLine().startsWith("HTTP/1.1 200"));
            }
        }
    }
}
