package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.endpointJson;
import static cinderhollow.daemon.GatewayFixture.endpointListJson;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How a gateway handles requests that arrive in part, too late or with an ambiguous meaning, and the clients that send them. */
class RequestReceiveTest {
    private static final ScriptedServer.Script SERVE_OK = ScriptedServer.reply("200 OK", "fine");
    private static final String COMMON_HEADERS = "Host: x\r\nX-Timeout: 20000m\r\n";

    /** Clients that send one request and keep their connection would use up all connections, so that other clients get none. */
    @Test
    void withHalfTheConnectionsInUseAResponseClosesItsConnection() throws Exception {
        // 64 descriptors are reserved for other uses; half of the remaining 16 are for clients.
        ScriptedServer server = new ScriptedServer(SERVE_OK);
        try (server; GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                GatewayFixture.createIdleDiscovery(), 60_000_000_000L, 80)) {
            Client first = f.connectClient();
            for (int i = 0; i < 3; i++) {
                assertNull(f.connectClient().exchange(statusRequest("r" + i, LONG_TIMEOUT_MILLIS)).header("Connection"));
            }
            assertNull(first.exchange(statusRequest("first", LONG_TIMEOUT_MILLIS)).header("Connection"));
            Client oneMore = f.connectClient();
            assertEquals("close", oneMore.exchange(statusRequest("more", LONG_TIMEOUT_MILLIS)).header("Connection"));
            assertNull(oneMore.read());
            assertTrue(first.exchange(statusRequest("again", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "),
                    "it still has its place");
        }
    }

    @Test
    void aReadinessProbeKeepsNoConnection() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client probe = f.connectClient();
            assertTrue(probe.exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").firstLine().contains(" 200 "));
            assertNull(probe.read());
        }
    }

    @Test
    void aSilentConnectionIsClosed() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            assertNull(f.connectClient().read());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"G", "GET /status HTTP/1.1\r\nHost:",
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 9000\r\n\r\nbegun"})
    void aRequestThatTricklesInTimesOut(String beginning) throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.socket.setSoTimeout(20);
            client.write(beginning);
            Message answer = null;
            for (long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS); answer == null;) {
                assertTrue(System.nanoTime() < deadlineNanos, "each byte renews the limit");
                try {
                    answer = client.read();
                } catch (SocketTimeoutException e) {
                    client.write("x");
                }
            }
            assertTrue(answer.firstLine().contains(" 408 "), answer.firstLine());
            client.socket.setSoTimeout(TIMEOUT_MILLIS);
            assertNull(client.read());
            assertEquals(0, server.requests.size());
        }
    }

    /** A request that can't be accepted must not be answered before an open request that came before it on the connection. */
    @ParameterizedTest
    @ValueSource(strings = {
        "408|POST /submit HTTP/1.1\r\nX-Request-ID: b\r\nContent-Length: 60000000\r\n\r\nbegun",
        "400|POST /submit HTTP/1.1\r\nX-Request-ID: b\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "400|GET /status NOT-HTTP\r\n\r\n"})
    void anUnacceptableRequestIsAnsweredInItsTurn(String statusAndRequest) throws Exception {
        String[] parts = statusAndRequest.split("\\|");
        CompletableFuture<Socket> heldSocket = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((socket, request) -> heldSocket.complete(socket));
                GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.write(submitRequest("a", LONG_TIMEOUT_MILLIS, "x") + parts[1]);
            SERVE_OK.answer(heldSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), null);
            assertEquals("fine", client.read().body());
            assertTrue(client.read().firstLine().contains(" " + parts[0] + " "));
            assertNull(client.read());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET ",
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: -4\r\n\r\n",
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nX-Request-ID: s\r\nContent-Length: 0\r\n\r\n",
        "POST /submit HTTP/1.1\r\nX-Request-ID: two words\r\nContent-Length: 0\r\n\r\n",
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\u00e9\r\nContent-Length: 0\r\n\r\n",
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
        "GET /submit HTTP/1.1\r\nX-Request-ID: r\r\n\r\n",
        "POST /status HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 0\r\n\r\n",
        "GET /status HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 1\r\n\r\nx"})
    void anAmbiguousRequestIsRejected(String request) throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Message answer = f.connectClient().exchange(request.replaceFirst("\r\n", "\r\n" + COMMON_HEADERS));
            assertTrue(answer.firstLine().matches("HTTP/1.1 4\\d\\d .*"), answer.firstLine());
            assertEquals(0, server.requests.size(), "it goes to no host");
        }
    }

    @Test
    void clientsWithoutARequestAreClosedBeforeOneThatHadOne() throws Exception {
        ScriptedServer server = new ScriptedServer(SERVE_OK);
        // 64 descriptors are reserved for other uses; half of the remaining 16 are for clients.
        try (server; GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                GatewayFixture.createIdleDiscovery(), 60_000_000_000L, 80)) {
            Client good = f.connectClient();
            assertEquals("fine", good.exchange(statusRequest("r1", LONG_TIMEOUT_MILLIS)).body());
            Client firstSilent = f.connectClient();
            for (int i = 0; i < 20; i++) {
                f.connectClient();
            }
            assertNull(firstSilent.read());
            assertEquals("fine", good.exchange(statusRequest("r2", LONG_TIMEOUT_MILLIS)).body(),
                    "the good client's connection is kept");
        }
    }

    /** The first request uses its whole time at the server; the second one was sent together with it. */
    @Test
    void aPipelinedRequestHasItsTimeFromItsLastByte() throws Exception {
        try (ScriptedServer server = new ScriptedServer((socket, request) -> { });
                GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.write(submitRequest("a", 1000, "x") + submitRequest("b", 900, "x"));
            assertTrue(client.read().firstLine().contains(" 502 "));
            assertTrue(client.read().firstLine().contains(" 503 "));
            assertEquals(1, server.requests.size(), "nothing of the second was sent on");
        }
    }
}
