package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Peers that give one gateway process as much work as they can: other clients' requests are still answered in time. */
class BusyPeerTest {
    private static final int TINY_PIECES = 50_000, PIECE_CLIENTS = 30, PIECE_READERS = 10;
    private static final int REQUESTS_AT_ONCE = 500;
    private static final int HEAD_CLIENTS = 80, HEADS_EACH = 60, FIELDS = 900;
    private static final int MANY_CLIENTS = 60;
    private static final long SETTLE_MILLIS = 500;

    @TempDir
    private Path folder;

    private GatewayProcess startGateway(ScriptedServer server) throws Exception {
        return GatewayProcess.start(folder, BodyMemoryTest.SMALL_MEMORY, server);
    }

    private static void assertOthersAreServed(GatewayProcess gateway) throws Exception {
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        BodyMemoryTest.assertUsualRequestsAreServed(gateway);
        assertTrue(!gateway.log().contains("OutOfMemoryError"), gateway.log());
    }

    /** Guards against an event loop that decodes the pieces of one body after the other without a poll of the sockets. */
    @Test
    void bodiesInTinyPiecesHoldUpNobody() throws Exception {
        try (ScriptedServer server = new ScriptedServer(BodyMemoryTest.endlessUnlessUsual("Content-Length: 1"));
                GatewayProcess gateway = startGateway(server)) {
            String pieces = BodyMemoryTest.chunk("x").repeat(TINY_PIECES);
            for (int i = 0; i < PIECE_CLIENTS; i++) {
                Client client = gateway.connectClient();
                client.write("POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: slow-" + i
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n");
                BodyMemoryTest.startDaemonThread(() -> client.write(pieces));
            }
            assertOthersAreServed(gateway);
        }
    }

    /** Guards against the same by answers in such pieces, each of which is forwarded by a write of its own. */
    @Test
    void answersInTinyPiecesHoldUpNobody() throws Exception {
        String pieces = BodyMemoryTest.chunk("x").repeat(TINY_PIECES);
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            if (request.header("X-Request-ID").startsWith("usual")) {
                ScriptedServer.reply("200 OK", "served").answer(socket, request);
                return;
            }
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                ScriptedServer.write(socket, pieces);
            }
        }); GatewayProcess gateway = startGateway(server)) {
            for (int i = 0; i < PIECE_READERS; i++) {
                Client client = gateway.connectClient();
                client.write(statusRequest("slow-" + i, LONG_TIMEOUT_MILLIS));
                assertEquals('H', client.socket.getInputStream().read(), gateway.log());
            }
            assertOthersAreServed(gateway);
        }
    }

    /** Guards against clients whose heads cost many times what a usual one costs: many at once hold the event loop together. */
    @Test
    void headsOfManyFieldsHoldUpNobody() throws Exception {
        assertHeadsOfManyFieldsHoldUpNobody("unknown");
    }

    /** Guards against the same where the requests are of a known class, so that their servers have all of them as load too. */
    @Test
    void requestsWithHeadsOfManyFieldsHoldUpNobody() throws Exception {
        assertHeadsOfManyFieldsHoldUpNobody("status");
    }

    private void assertHeadsOfManyFieldsHoldUpNobody(String requestClass) throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayProcess gateway = startGateway(server)) {
            CountDownLatch allConnected = new CountDownLatch(1);
            for (int i = 0; i < HEAD_CLIENTS; i++) {
                StringBuilder heads = new StringBuilder();
                for (int j = 0; j < HEADS_EACH; j++) {
                    heads.append("GET /" + requestClass + " HTTP/1.1\r\nX-Request-ID: head-" + i + "-" + j + "\r\n");
                    IntStream.range(0, FIELDS).forEach(field -> heads.append('a').append(field).append(":\r\n"));
                    heads.append("\r\n");
                }
                Client client = gateway.connectClient();
                BodyMemoryTest.startDaemonThread(() -> {
                    ScriptedServer.await(allConnected);
                    client.write(heads.toString());
                });
                BodyMemoryTest.startDaemonThread(() -> client.socket.getInputStream().transferTo(OutputStream.nullOutputStream()));
            }
            allConnected.countDown();
            BodyMemoryTest.assertUsualRequestsAreServed(gateway);
        }
    }

    /** Starts a client that sends requests without a pause, each with a number of its own, and discards the answers. */
    private static void startFlood(GatewayProcess gateway, IntFunction<String> request) throws Exception {
        Client client = gateway.connectClient();
        BodyMemoryTest.startDaemonThread(() -> {
            byte[] discarded = new byte[64 * 1024];
            while (client.socket.getInputStream().read(discarded) >= 0) {
                Thread.onSpinWait();
            }
        });
        BodyMemoryTest.startDaemonThread(() -> {
            for (int number = 0;;) {
                StringBuilder requests = new StringBuilder();
                for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                    requests.append(request.apply(number++));
                }
                client.write(requests.toString());
            }
        });
    }

    /** Guards against requests of one client that are answered one after the other without a poll of the sockets. */
    @ParameterizedTest
    @ValueSource(strings = {"/status/N", "/unknown-N", "//N", "/ready"})
    void requestsAtFullSpeedHoldUpNobody(String path) throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayProcess gateway = startGateway(server)) {
            startFlood(gateway, number -> "GET " + path.replace("N", String.valueOf(number))
                    + " HTTP/1.1\r\nX-Request-ID: flood-" + number + "\r\nX-Tenant-Id: t" + number + "\r\n\r\n");
            assertOthersAreServed(gateway);
        }
    }

    /** Guards against many such clients: each of them had its share of the event loop, without a bound on the sum. */
    @ParameterizedTest
    @ValueSource(strings = {"/unknown-N", "//N", "/status/N?late"})
    void requestsOfManyClientsAtFullSpeedHoldUpNobody(String path) throws Exception {
        String timeout = path.endsWith("late") ? "X-Timeout: 1u\r\n" : "";
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayProcess gateway = startGateway(server)) {
            for (int i = 0; i < MANY_CLIENTS; i++) {
                int client = i;
                startFlood(gateway, number -> "GET " + path.replace("N", String.valueOf(number))
                        + " HTTP/1.1\r\nX-Request-ID: flood-" + client + "-" + number + "\r\n" + timeout + "\r\n");
            }
            assertOthersAreServed(gateway);
        }
    }
}
