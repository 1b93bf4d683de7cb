package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that stop in the middle of a request and stay get their error, or a close, within three seconds. */
class StalledClientTest {
    private static final long OWED_MILLIS = 3_000;
    private static final ScriptedHost.Script SERVES = ScriptedHost.reply("200 OK", "served");
    private static final String HEAD = "POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\nX-Timeout: 20000m\r\n";

    private static void assertEndsInTime(Client client) throws Exception {
        long stopped = System.nanoTime();
        int first = client.socket.getInputStream().read();
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopped);
        assertTrue(took <= OWED_MILLIS, "after " + took + " ms came " + first);
    }

    @ParameterizedTest
    @ValueSource(strings = {"P", "POST /submit HTTP/1.1\r\nHost: x\r\nX-Req", HEAD, HEAD + "Content-Length: 100\r\n\r\n",
        HEAD + "Content-Length: 100\r\n\r\nhalf", HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nhal"})
    void whoStopsInAHeadOrASmallBody(String part) throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.write(part);
            assertEndsInTime(client);
        }
    }

    /** What has come of a body gives its client no more time to say nothing. */
    @ParameterizedTest
    @CsvSource({"1000000,66000", "1000000,200000", "4000000,1000000", "60000,50000"})
    void whoStopsInALargeBody(int length, int sent) throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.write(HEAD + "Content-Length: " + length + "\r\n\r\n" + "x".repeat(sent));
            assertEndsInTime(client);
        }
    }

    /** Also on a kept connection, behind an answer. */
    @Test
    void whoStopsInALaterRequest() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.ask(GatewayFixture.status("first", GatewayFixture.LONG_MILLIS));
            client.write(HEAD + "Content-Length: 100\r\n\r\nhalf");
            assertEndsInTime(client);
        }
    }

    /** Two seconds for a head and 64 kB a second for a body are what clients may take. */
    @Test
    void whoIsAsSlowAsClientsMayBeIsServed() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            String head = HEAD + "Content-Length: 160000\r\n\r\n";
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
