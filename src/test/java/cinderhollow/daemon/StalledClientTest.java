package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A client that stops in the middle of a request and stays connected gets an error or a close within 3 s. */
class StalledClientTest {
    private static final long MAX_WAIT_MILLIS = 3_000;
    private static final ScriptedServer.Script SERVE_OK = ScriptedServer.reply("200 OK", "served");
    private static final String REQUEST_HEAD = "POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\nX-Timeout: 20000m\r\n";

    private static void assertEndsInTime(Client client) throws Exception {
        long stoppedAtNanos = System.nanoTime();
        int firstByte = client.socket.getInputStream().read();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedAtNanos);
        assertTrue(elapsedMillis <= MAX_WAIT_MILLIS, "after " + elapsedMillis + " ms came " + firstByte);
    }

    @ParameterizedTest
    @ValueSource(strings = {"P", "POST /submit HTTP/1.1\r\nHost: x\r\nX-Req", REQUEST_HEAD, REQUEST_HEAD
            + "Content-Length: 100\r\n\r\n",
        REQUEST_HEAD + "Content-Length: 100\r\n\r\nhalf", REQUEST_HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nhal"})
    void aClientThatStopsInAHeadOrASmallBodyIsEndedInTime(String part) throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.write(part);
            assertEndsInTime(client);
        }
    }

    /** The part of a body that has arrived must not extend the time for which its client may be silent. */
    @ParameterizedTest
    @CsvSource({"1000000,66000", "1000000,200000", "4000000,1000000", "60000,50000"})
    void aClientThatStopsInALargeBodyIsEndedInTime(int length, int sentBytes) throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.write(REQUEST_HEAD + "Content-Length: " + length + "\r\n\r\n" + "x".repeat(sentBytes));
            assertEndsInTime(client);
        }
    }

    /** The same holds on a kept connection, after an answer. */
    @Test
    void aClientThatStopsInALaterRequestIsEndedInTime() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.exchange(GatewayFixture.statusRequest("first", GatewayFixture.LONG_TIMEOUT_MILLIS));
            client.write(REQUEST_HEAD + "Content-Length: 100\r\n\r\nhalf");
            assertEndsInTime(client);
        }
    }

    /** Clients may take up to 2 s for a head, and may send a body at 64 kB per second. */
    @Test
    void theSlowestAllowedClientIsServed() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            String head = REQUEST_HEAD + "Content-Length: 160000\r\n\r\n";
            int pieces = 18;
            for (int i = 0; i < pieces; i++) {
                client.write(head.substring(head.length() * i / pieces, head.length() * (i + 1) / pieces));
                TimeUnit.MILLISECONDS.sleep(100);
            }
            for (int i = 0; i < 25; i++) {
                client.write("x".repeat(6_400));
                TimeUnit.MILLISECONDS.sleep(100);
            }
            assertTrue(client.read().firstLine().contains(" 200 "));
        }
    }
}
