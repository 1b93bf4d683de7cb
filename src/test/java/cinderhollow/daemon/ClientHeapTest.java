package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that would make a gateway process with the heap of the deployment's command hold more than that heap. */
class ClientHeapTest {
    private static final int PIPELINING_CLIENTS = 40, PIPELINED_REQUESTS = 130;
    /** Clients that each hold one request or a part of one. */
    private static final int CLIENTS = 300;
    /** Both make a head of some 7 KB, below the 8 KB that the gateway accepts; a short field costs many times its length. */
    private static final int LONG_FIELDS = 60, SHORT_FIELDS = 1_400;
    private static final long SETTLE_MILLIS = 500;

    @TempDir
    private Path folder;

    private static String withFields(String request, String field, int count) {
        return request.substring(0, request.length() - 2) + field.repeat(count) + "\r\n";
    }

    private static String withLongFields(String request) {
        return withFields(request, "X-Note: " + "n".repeat(100) + "\r\n", LONG_FIELDS);
    }

    private static String withShortFields(String request) {
        return withFields(request, "a:b\r\n", SHORT_FIELDS);
    }

    private static String withoutLastByte(String request) {
        return request.substring(0, request.length() - 1);
    }

    private static void assertHarmsNobody(GatewayProcess gateway) throws Exception {
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        BodyMemoryTest.assertUsualRequestsAreServed(gateway);
        assertTrue(!gateway.log().contains("OutOfMemoryError"), gateway.log());
    }

    private void pipelineBehindAnEndlessAnswer(String request) throws Exception {
        try (ScriptedServer server = new ScriptedServer(BodyMemoryTest.endlessUnlessUsual("Content-Length: 4000000000"));
                GatewayProcess gateway = GatewayProcess.start(folder, BodyMemoryTest.SMALL_MEMORY, server)) {
            for (int i = 0; i < PIPELINING_CLIENTS; i++) {
                Client client = gateway.connectClient();
                client.write(statusRequest("slow-" + i, LONG_TIMEOUT_MILLIS));
                assertEquals('H', client.socket.getInputStream().read(), gateway.log());
                String requests = request.repeat(PIPELINED_REQUESTS);
                BodyMemoryTest.startDaemonThread(() -> client.write(requests));
            }
            assertHarmsNobody(gateway);
        }
    }

    /** Guards against pipelined requests whose decoded heads use up the heap while they wait for an answer that is read slowly. */
    @Test
    void pipelinedHeadsBehindASlowAnswerLeaveTheHeapThatOthersNeed() throws Exception {
        pipelineBehindAnEndlessAnswer(withLongFields(statusRequest("waits", LONG_TIMEOUT_MILLIS)));
    }

    /** Guards against the same by heads whose fields cost thirty times their length. */
    @Test
    void pipelinedHeadsOfShortFieldsLeaveTheHeapThatOthersNeed() throws Exception {
        pipelineBehindAnEndlessAnswer(withShortFields(statusRequest("waits", LONG_TIMEOUT_MILLIS)));
    }

    /** Guards against heads that are never finished, whose decoded fields use up the heap. */
    @Test
    void unfinishedHeadsOfShortFieldsLeaveTheHeapThatOthersNeed() throws Exception {
        try (ScriptedServer server = new ScriptedServer(BodyMemoryTest.endlessUnlessUsual("Content-Length: 1"));
                GatewayProcess gateway = GatewayProcess.start(folder, BodyMemoryTest.SMALL_MEMORY, server)) {
            for (int i = 0; i < CLIENTS; i++) {
                writeUnlessRefused(gateway.connectClient(),
                        withoutLastByte(withShortFields(statusRequest("part-" + i, LONG_TIMEOUT_MILLIS))));
            }
            assertHarmsNobody(gateway);
        }
    }

    /** Guards against the same by heads of requests that are open at a server: those that fit in are, the others are refused. */
    @Test
    void openRequestsOfShortFieldsLeaveTheHeapThatOthersNeed() throws Exception {
        try (ScriptedServer silentServer = new ScriptedServer((socket, request) -> { });
                GatewayProcess gateway = GatewayProcess.start(folder, BodyMemoryTest.SMALL_MEMORY, silentServer)) {
            Client last = null;
            for (int i = 0; i < CLIENTS; i++) {
                last = gateway.connectClient();
                last.write(withShortFields(statusRequest("open-" + i, LONG_TIMEOUT_MILLIS)));
            }
            Message answer = last.read();
            assertTrue(answer != null && answer.firstLine().contains(" 503 "), answer + gateway.log());
            Message ready = gateway.connectClient().exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            assertTrue(ready != null && ready.firstLine().contains(" 200 "), ready + gateway.log());
            assertTrue(!gateway.log().contains("OutOfMemoryError"), gateway.log());
        }
    }

    private static void writeUnlessRefused(Client client, String text) {
        try {
            client.write(text);
        } catch (IOException e) {
            // The gateway has refused the request and closed the connection meanwhile.
        }
    }
}
