package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.endpointJson;
import static cinderhollow.daemon.GatewayFixture.endpointListJson;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Answers whose servers hang in the middle of them for longer than a silent connection is otherwise kept. */
class StalledAnswerTest {
    private static final int ANSWER_BYTES = 400_000, IDLE_SECONDS = 60;
    private static final long HANG_MILLIS = 12_000;
    /** With it a gateway may have 8 connections to servers: 64 descriptors are reserved, and half of the rest are for clients. */
    private static final int DESCRIPTORS = 80, CONNECTIONS = 8;

    /** Writes the head and half of the answer, and the other half once the latch has been counted down. */
    private static ScriptedServer.Script halfUntil(CountDownLatch goOn) {
        return (socket, request) -> {
            if (request.header("X-Request-ID").startsWith("usual")) {
                ScriptedServer.reply("200 OK", "served").answer(socket, request);
                return;
            }
            String half = "x".repeat(ANSWER_BYTES / 2);
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n" + half);
            try {
                goOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            ScriptedServer.write(socket, half);
        };
    }

    private static GatewayFixture start(ScriptedServer server) throws Exception {
        return new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                GatewayFixture.createIdleDiscovery(), TimeUnit.SECONDS.toNanos(IDLE_SECONDS), DESCRIPTORS);
    }

    /**
     * Guards against an answer that is cut off though its server goes on with it. Meanwhile the places of such answers are given
     * to other requests once they are needed.
     */
    @Test
    void anAnswerIsKeptWhileItsServerHangsUntilItsPlaceIsNeeded() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer(halfUntil(goOn)); GatewayFixture f = start(server)) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                Client client = f.connectClient();
                client.write(statusRequest("hangs-" + i, LONG_TIMEOUT_MILLIS));
                assertEquals('H', client.socket.getInputStream().read());
                clients.add(client);
            }
            TimeUnit.MILLISECONDS.sleep(HANG_MILLIS);
            assertTrue(f.connectClient().exchange(statusRequest("usual", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
            goOn.countDown();
            int whole = 0;
            for (Client client : clients) {
                whole += readToEnd(client.socket.getInputStream()) >= ANSWER_BYTES ? 1 : 0;
            }
            assertEquals(CONNECTIONS - 1, whole);
        }
    }

    /** Returns the number of bytes up to the end of the answer, or of the connection. */
    private static int readToEnd(InputStream in) throws Exception {
        return in.readNBytes(ANSWER_BYTES).length;
    }
}
