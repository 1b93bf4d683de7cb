package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static cinderhollow.daemon.GatewayFixture.entry;
import static cinderhollow.daemon.GatewayFixture.list;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedHost.Message;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How a gateway handles requests that arrive in part, too late or with an ambiguous meaning, and the clients that send them. */
class ArrivalTest {
    private static final ScriptedHost.Script SERVES = ScriptedHost.reply("200 OK", "fine");
    private static final String HEAD = "Host: x\r\nX-Timeout: 20000m\r\n";

    /** Clients that send one request and keep their connection would use up all connections, so that other clients get none. */
    @Test
    void withHalfThePlacesTakenAnAnswerEndsItsConnection() throws Exception {
        // 64 descriptors are reserved for other uses; half of the remaining 16 are for clients.
        ScriptedHost host = new ScriptedHost(SERVES);
        try (host; GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", host, "up", 0))),
                GatewayFixture.quietDiscovery(), 60_000_000_000L, 80)) {
            Client first = f.client();
            for (int i = 0; i < 3; i++) {
                assertNull(f.client().ask(status("r" + i, LONG_MILLIS)).header("Connection"));
            }
            assertNull(first.ask(status("first", LONG_MILLIS)).header("Connection"));
            Client oneMore = f.client();
            assertEquals("close", oneMore.ask(status("more", LONG_MILLIS)).header("Connection"));
            assertNull(oneMore.read());
            assertTrue(first.ask(status("again", LONG_MILLIS)).firstLine().contains(" 200 "), "it still has its place");
        }
    }

    @Test
    void aProbeOfReadinessKeepsNoPlace() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client probe = f.client();
            assertTrue(probe.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").firstLine().contains(" 200 "));
            assertNull(probe.read());
        }
    }

    @Test
    void aSilentConnectionIsClosed() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            assertNull(f.client().read());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"G", "GET /status HTTP/1.1\r\nHost:",
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 9000\r\n\r\nbegun"})
    void aRequestThatGrowsByteByByteIsGivenUp(String beginning) throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.socket.setSoTimeout(20);
            client.write(beginning);
            Message answer = null;
            for (long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS); answer == null;) {
                assertTrue(System.nanoTime() < end, "each byte renews the limit");
                try {
                    answer = client.read();
                } catch (SocketTimeoutException e) {
                    client.write("x");
                }
            }
            assertTrue(answer.firstLine().contains(" 408 "), answer.firstLine());
            client.socket.setSoTimeout(PATIENCE_MILLIS);
            assertNull(client.read());
            assertEquals(0, host.requests.size());
        }
    }

    /** A request that can't be accepted must not be answered before an open request that came before it on the connection. */
    @ParameterizedTest
    @ValueSource(strings = {
        "408|POST /submit HTTP/1.1\r\nX-Request-ID: b\r\nContent-Length: 60000000\r\n\r\nbegun",
        "400|POST /submit HTTP/1.1\r\nX-Request-ID: b\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "400|GET /status NOT-HTTP\r\n\r\n"})
    void whatCannotBeTakenIsAnsweredInItsTurn(String statusAndRequest) throws Exception {
        String[] parts = statusAndRequest.split("\\|");
        CompletableFuture<Socket> held = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> held.complete(socket));
                GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.write(submit("a", LONG_MILLIS, "x") + parts[1]);
            SERVES.answer(held.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), null);
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
    void aRequestWithTwoReadingsIsRefused(String request) throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Message answer = f.client().ask(request.replaceFirst("\r\n", "\r\n" + HEAD));
            assertTrue(answer.firstLine().matches("HTTP/1.1 4\\d\\d .*"), answer.firstLine());
            assertEquals(0, host.requests.size(), "it goes to no host");
        }
    }

    @Test
    void clientsThatNeverAskedMakeRoomBeforeOneThatDid() throws Exception {
        ScriptedHost host = new ScriptedHost(SERVES);
        // 64 descriptors are reserved for other uses; half of the remaining 16 are for clients.
        try (host; GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", host, "up", 0))),
                GatewayFixture.quietDiscovery(), 60_000_000_000L, 80)) {
            Client good = f.client();
            assertEquals("fine", good.ask(status("r1", LONG_MILLIS)).body());
            Client firstSilent = f.client();
            for (int i = 0; i < 20; i++) {
                f.client();
            }
            assertNull(firstSilent.read());
            assertEquals("fine", good.ask(status("r2", LONG_MILLIS)).body(), "the good client's connection is kept");
        }
    }

    /** The first request uses its whole time at the server; the second one was sent together with it. */
    @Test
    void aRequestSentAheadHasItsTimeFromItsLastByte() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> { });
                GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.write(submit("a", 1000, "x") + submit("b", 900, "x"));
            assertTrue(client.read().firstLine().contains(" 502 "));
            assertTrue(client.read().firstLine().contains(" 503 "));
            assertEquals(1, host.requests.size(), "nothing of the second was sent on");
        }
    }
}
