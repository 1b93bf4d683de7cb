package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.endpointJson;
import static cinderhollow.daemon.GatewayFixture.endpointListJson;
import static cinderhollow.daemon.GatewayFixture.sendWatchLine;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request that waits to be sent must not be sent once its client has disconnected or its server takes no new requests. */
class UnsentRequestTest {
    private static final ScriptedServer.Script SERVE_OK = ScriptedServer.reply("200 OK", "served");
    private static final int PIPELINED_COUNT = 40;
    /** Longer than any test waits, so that a time-out can't be mistaken for the detection of a disconnect. */
    private static final int UNREACHED_TIMEOUT_MILLIS = 300_000;

    /** Starts a gateway whose connects may take long, with cancels allowed or not. */
    private static GatewayFixture startWithLongConnects(boolean mayCancel, ScriptedServer discovery, ScriptedServer... servers)
            throws Exception {
        return GatewayFixture.withSettings(settings ->
                settings.replace("\"dial_timeout_ns\":2000000000", "\"dial_timeout_ns\":20000000000")
                .replace("\"may_cancel\":true", "\"may_cancel\":" + mayCancel), discovery, servers);
    }

    private static List<String> requestIds(ScriptedServer server) {
        return server.requests.stream().map(request -> request.header("X-Request-ID")).toList();
    }

    /** Cancelling a request that was never sent cancels no work of a server, so it is done even where cancels are forbidden. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRequestIsNotSentWhoseClientLeftBeforeItsConnectionWasUp(boolean mayCancel) throws Exception {
        try (ScriptedServer server = ScriptedServer.withFullBacklog(SERVE_OK);
                GatewayFixture f = startWithLongConnects(mayCancel, GatewayFixture.createIdleDiscovery(), server)) {
            Client client = f.connectClient();
            client.write(submitRequest("left", LONG_TIMEOUT_MILLIS, "x"));
            await("the request", () -> f.countOpenRequests() == 1);
            client.socket.close();
            await("the client's leaving", () -> f.countOpenRequests() == 0);
            server.startAccepting();
            assertTrue(f.connectClient().exchange(submitRequest("stays", LONG_TIMEOUT_MILLIS, "x")).firstLine()
                    .contains(" 200 "));
            // The connection for the first request is established by then, or is established now.
            await("its connection", () -> server.countGatewayConnections() >= 1);
            assertEquals(List.of("stays"), requestIds(server));
        }
    }

    /** All pipelined requests are in the system's buffers, with the close of the connection behind them. */
    @Test
    void aLargeBodyIsNotSentWholeWhoseClientLeftBeforeTheConnectionWasUp() throws Exception {
        try (ScriptedServer server = ScriptedServer.withFullBacklog(SERVE_OK);
                GatewayFixture f = startWithLongConnects(false, GatewayFixture.createIdleDiscovery(), server)) {
            Client client = f.connectClient();
            client.write(submitRequest("left", LONG_TIMEOUT_MILLIS, "x".repeat(200_000)));
            await("the request", () -> f.countOpenRequests() == 1);
            client.socket.close();
            server.startAccepting();
            await("the client's leaving", () -> f.countOpenRequests() == 0);
            assertTrue(f.connectClient().exchange(submitRequest("stays", LONG_TIMEOUT_MILLIS, "x")).firstLine()
                    .contains(" 200 "));
            assertEquals(List.of("stays"), requestIds(server));
        }
    }

    /** The disconnect comes behind everything the client sent, so a gateway that stops reading never notices it. */
    @Test
    void theDisconnectOfAClientWithManyPipelinedRequestsIsNoticed() throws Exception {
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < PIPELINED_COUNT; i++) {
            pipelined.append(statusRequest("r" + i, UNREACHED_TIMEOUT_MILLIS));
        }
        assertDisconnectNoticed(pipelined.toString(), PIPELINED_COUNT);
    }

    @Test
    void theDisconnectOfAClientWithAMalformedRequestIsNoticed() throws Exception {
        assertDisconnectNoticed(statusRequest("r0", UNREACHED_TIMEOUT_MILLIS) + "no request at all\r\n\r\n"
                + "more of it\r\n".repeat(1_000), 1);
    }

    private static void assertDisconnectNoticed(String bytes, int requestCount) throws Exception {
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            if ("other".equals(request.header("X-Request-ID"))) {
                SERVE_OK.answer(socket, request);
            }
        }); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.write(bytes);
            await("the first of them", () -> server.requests.size() == 1);
            client.socket.close();
            await("the client's leaving, of " + requestCount, () -> f.countOpenRequests() == 0);
            assertTrue(f.connectClient().exchange(statusRequest("other", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
            assertEquals(List.of("r0", "other"), requestIds(server));
        }
    }

    /**
     * The first server received the whole request and its connection broke; the connection to the second one is not established
     * within the dedup window. The unsent retry must be dropped at the end of that window, not when the connect or the client's
     * time ends.
     */
    @Test
    void aRetryIsNotSentAfterTheDedupWindow() throws Exception {
        List<Socket> watchSockets = new CopyOnWriteArrayList<>();
        ScriptedServer discovery = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            sendWatchLine(socket, endpointListJson(1, false, List.of()));
            watchSockets.add(socket);
        });
        CountDownLatch resetFirst = new CountDownLatch(1);
        try (ScriptedServer lateServer = ScriptedServer.withFullBacklog(SERVE_OK); ScriptedServer firstServer =
                new ScriptedServer((socket, request) -> {
            ScriptedServer.await(resetFirst);
            ScriptedServer.reset(socket);
        }); GatewayFixture f = GatewayFixture.withSettings(settings -> settings
                .replace("\"dial_timeout_ns\":2000000000", "\"dial_timeout_ns\":20000000000")
                .replace("\"semantics\":\"unsafe\"", "\"semantics\":\"keyed\",\"dedup_scope\":\"all\",\"window_ns\":3000000000"),
                discovery, firstServer)) {
            Client client = f.connectClient();
            client.write(submitRequest("r", LONG_TIMEOUT_MILLIS, "x").replace("Host: x", "Host: x\r\nIdempotency-Key: k"));
            await("the first attempt", () -> firstServer.requests.size() == 1);
            sendWatchLine(watchSockets.get(0), endpointListJson(2, false, List.of(endpointJson("late", lateServer, "up", 0))));
            await("the second host", () -> f.gateway.stats().join().endpoints() == 2);
            resetFirst.countDown();
            long begin = System.nanoTime();
            await("the end of the window", () -> System.nanoTime() - begin > TimeUnit.MILLISECONDS.toNanos(3_100));
            lateServer.startAccepting();
            await("the late connection", () -> lateServer.countGatewayConnections() >= 1);
            String answer = client.read().firstLine();
            assertTrue(answer.contains(" 503 ") || answer.contains(" 502 "), answer);
            client.write(submitRequest("next", LONG_TIMEOUT_MILLIS, "x").replace("Host: x", "Host: x\r\nIdempotency-Key: n"));
            assertTrue(client.read().firstLine().contains(" 200 "));
            assertEquals(List.of("next"), requestIds(lateServer));
        }
    }

    /**
     * The drain is reported during the connect: the waiting request must go to another server at once, and none to the
     * draining one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "removed"})
    void aRequestIsNotSentToAServerThatDrainsBeforeItsConnectionIsUp(String newStatus) throws Exception {
        List<Socket> watchSockets = new CopyOnWriteArrayList<>();
        ScriptedServer discovery = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            sendWatchLine(socket, endpointListJson(1, false, List.of()));
            watchSockets.add(socket);
        });
        try (ScriptedServer lateServer = ScriptedServer.withFullBacklog(SERVE_OK); ScriptedServer other =
                new ScriptedServer(SERVE_OK);
                GatewayFixture f = startWithLongConnects(true, discovery, lateServer)) {
            Client client = f.connectClient();
            client.write(submitRequest("r", LONG_TIMEOUT_MILLIS, "x"));
            await("the request", () -> f.countOpenRequests() == 1);
            sendWatchLine(watchSockets.get(0),
                    endpointListJson(2, false, List.of(endpointJson("s-0", lateServer, newStatus, 0), endpointJson("o", other,
                    "up", 0))));
            assertTrue(client.read().firstLine().contains(" 200 "));
            assertEquals(List.of("r"), requestIds(other));
            lateServer.startAccepting();
            await("the late connection", () -> lateServer.countGatewayConnections() >= 1);
            assertTrue(f.connectClient().exchange(submitRequest("next", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 200 "));
            assertEquals(List.of(), requestIds(lateServer));
        }
    }
}
