package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients whose close lies behind much that they have sent. No attempt begins for a client that has gone. */
class UnreadClientTest {
    /** A heap of which one client may use so little that it can send more than the gateway reads. */
    private static final Map<String, String> SMALL_HEAP = Map.of("JAVA_TOOL_OPTIONS", "-Xmx32m");
    private static final String BODY = "x".repeat(30_000);
    private static final int FEW_REQUESTS = 6, MORE_REQUESTS_THAN_FIT = 110;
    private static final long SETTLE_MILLIS = 700;

    @TempDir
    private Path folder;

    private static String submits(int count) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < count; i++) {
            requests.append(submitRequest("r" + i, LONG_TIMEOUT_MILLIS, BODY));
        }
        return requests.toString();
    }

    private void assertOnlyTheFirstIsSent(int requests) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            ScriptedServer.await(closed);
            ScriptedServer.reply("200 OK", "served").answer(socket, request);
        }); GatewayProcess gateway = GatewayProcess.start(folder, SMALL_HEAP, server)) {
            Client client = gateway.connectClient();
            client.write(submits(requests));
            GatewayFixture.await("the first request", () -> !server.requests.isEmpty());
            client.socket.close();
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            closed.countDown();
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            assertEquals(1, server.requests.size(), gateway.log());
        }
    }

    /** Guards against requests that are sent after their client's close, because it lies behind 180 kB of further requests. */
    @Test
    void aRequestIsNotSentWhenItsClientSentMuchAndLeft() throws Exception {
        assertOnlyTheFirstIsSent(FEW_REQUESTS);
    }

    /** Guards against the same where the gateway has paused reading, so that it cannot see the close. */
    @Test
    void aRequestIsNotSentWhenItsClientSentMoreThanIsReadAndLeft() throws Exception {
        assertOnlyTheFirstIsSent(MORE_REQUESTS_THAN_FIT);
    }

    /** A client that stays gets an answer to each request: a refusal as long as more lies unread behind it than can be held. */
    @Test
    void aClientThatSendsMoreThanIsReadAndStaysGetsAllItsAnswers() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayProcess gateway = GatewayProcess.start(folder, SMALL_HEAP, server)) {
            Client client = gateway.connectClient();
            BodyMemoryTest.startDaemonThread(() -> client.write(submits(MORE_REQUESTS_THAN_FIT)));
            int served = 0;
            for (int i = 0; i < MORE_REQUESTS_THAN_FIT; i++) {
                Message answer = client.read();
                assertNotNull(answer, () -> "no answer");
                served += answer.firstLine().contains(" 200 ") ? 1 : 0;
                assertTrue(answer.firstLine().matches(".* (200|503) .*"), answer.firstLine());
            }
            assertEquals(served, server.requests.size());
            assertTrue(served > 0, gateway.log());
        }
    }
}
