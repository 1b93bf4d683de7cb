package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.endpointJson;
import static cinderhollow.daemon.GatewayFixture.endpointListJson;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The time of a request with a large body runs from its last byte, also while the gateway does not read that. */
class UploadDeadlineTest {
    private static final int REQUEST_MILLIS = 1_000;
    /** An answer that comes later than this after its request's time counts as lost. */
    private static final int LOST_AFTER_MILLIS = 500;
    private static final int DESCRIPTORS = 1_024, RECEIVE_BUFFER_BYTES = 64 * 1024, SLOW_PIECES = 10;
    private static final String LARGE_BODY = "x".repeat(5_000_000);
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static void assertRefusedInTime(Client client, long sentAt) throws Exception {
        Message answer = client.read();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
        assertTrue(answer != null && answer.firstLine().contains(" 503 "), () -> "after " + millis + " ms: " + answer);
        assertTrue(millis <= REQUEST_MILLIS + LOST_AFTER_MILLIS, () -> "after " + millis + " ms");
    }

    private static GatewayFixture startWithoutServers() throws Exception {
        return new GatewayFixture(endpointListJson(1, true, List.of()), GatewayFixture.createIdleDiscovery(), IDLE_NANOS,
                DESCRIPTORS);
    }

    /** Guards against a request that is held without a deadline, because its last byte lies behind what is not read. */
    @ParameterizedTest
    @ValueSource(ints = {70_000, 150_000, 600_000})
    void aHeldRequestWhoseBodyIsNotReadIsRefusedInItsTime(int bodyBytes) throws Exception {
        try (GatewayFixture f = startWithoutServers()) {
            Client client = f.connectClient();
            long sentAt = System.nanoTime();
            client.write(submitRequest("held", REQUEST_MILLIS, "x".repeat(bodyBytes)));
            assertRefusedInTime(client, sentAt);
        }
    }

    /** A server that accepts connections, and reads nothing or reads slowly. */
    private static ServerSocket listenWithSmallBuffer() throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        return listener;
    }

    private static GatewayFixture startWithServer(ServerSocket listener) throws Exception {
        String endpoint = endpointJson("s", "127.0.0.1:" + listener.getLocalPort(), "up", 0);
        return new GatewayFixture(endpointListJson(1, true, List.of(endpoint)), GatewayFixture.createIdleDiscovery(), IDLE_NANOS,
                DESCRIPTORS);
    }

    /** Guards against an attempt without a deadline at a server that takes no more of the body, so that the rest is not read. */
    @Test
    void aRequestWhoseServerTakesNoMoreOfItsBodyIsRefusedInItsTime() throws Exception {
        try (ServerSocket hungServer = listenWithSmallBuffer(); GatewayFixture f = startWithServer(hungServer)) {
            Client client = f.connectClient();
            long sentAt = System.nanoTime();
            BodyMemoryTest.startDaemonThread(() -> client.write(submitRequest("hung", REQUEST_MILLIS, LARGE_BODY)));
            assertRefusedInTime(client, sentAt);
            assertTrue(countBytes(hungServer.accept()) < LARGE_BODY.length(), "the server has the whole request");
        }
    }

    private static int countBytes(Socket socket) {
        int count = 0;
        byte[] some = new byte[RECEIVE_BUFFER_BYTES];
        try {
            for (int read = socket.getInputStream().read(some); read >= 0; read = socket.getInputStream().read(some)) {
                count += read;
            }
        } catch (IOException e) {
            // The gateway has reset the connection.
        }
        return count;
    }

    /** A server that takes the body slowly but whole before the time is over serves the request. */
    @Test
    void aRequestWhoseServerTakesItsBodySlowlyIsServed() throws Exception {
        try (ServerSocket slowServer = listenWithSmallBuffer(); GatewayFixture f = startWithServer(slowServer)) {
            Client client = f.connectClient();
            BodyMemoryTest.startDaemonThread(() -> client.write(submitRequest("slow", 5 * REQUEST_MILLIS, LARGE_BODY)));
            Socket attempt = slowServer.accept();
            int left = LARGE_BODY.length();
            while (left > 0) {
                left -= attempt.getInputStream().readNBytes(Math.min(left, LARGE_BODY.length() / SLOW_PIECES)).length;
                TimeUnit.MILLISECONDS.sleep(REQUEST_MILLIS / SLOW_PIECES);
            }
            ScriptedServer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved");
            assertTrue(client.read().firstLine().contains(" 200 "));
        }
    }

    /** A client that is still sending has its whole time, however long it takes to send. */
    @Test
    void aClientThatSendsSlowlyHasItsTimeFromItsLastByte() throws Exception {
        String body = "x".repeat(100_000);
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            String request = submitRequest("slow", REQUEST_MILLIS, body);
            int pieces = 5;
            for (int i = 0; i < pieces; i++) {
                client.write(request.substring(request.length() * i / pieces, request.length() * (i + 1) / pieces));
                TimeUnit.MILLISECONDS.sleep(REQUEST_MILLIS / 2);
            }
            assertTrue(client.read().firstLine().contains(" 200 "));
            assertEquals(body, server.requests.get(0).body());
            assertTrue(client.exchange(submitRequest("next", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 200 "));
        }
    }
}
