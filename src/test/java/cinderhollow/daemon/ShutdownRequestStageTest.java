package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.testing.Await;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A request is answered completely and exactly once, whatever its stage is when the shutdown of the process is requested. */
class ShutdownRequestStageTest {
    /** Stage of the request when the shutdown is requested. */
    private enum Stage { ACCEPTED, HALF_READ, UNREAD, IN_FLIGHT, HALF_ANSWERED }

    private static final String BODY = "x".repeat(3_000), RESPONSE_BODY = "y".repeat(200_000);

    @ParameterizedTest
    @EnumSource
    void whatWasTakenIsAnsweredWholeAndThenTheProcessEnds(Stage stage) throws Exception {
        CompletableFuture<Socket> requestSocket = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            if (stage == Stage.IN_FLIGHT || stage == Stage.HALF_ANSWERED) {
                requestSocket.complete(socket);
            } else {
                ScriptedServer.reply("200 OK", RESPONSE_BODY).answer(socket, request);
            }
        }); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            String request = submitRequest("r1", LONG_TIMEOUT_MILLIS, BODY);
            CompletableFuture<Void> shutdownDone;
            if (stage == Stage.UNREAD) {
                shutdownDone = shutDownWhileUnread(f, client, request);
            } else {
                if (stage == Stage.ACCEPTED) {
                    // This answer came after the connect, so the gateway has accepted the connection by now.
                    f.get("/ready");
                } else {
                    client.write(stage == Stage.HALF_READ ? request.substring(0, 1_000) : request);
                }
                if (stage == Stage.HALF_READ) {
                    f.get("/ready");
                }
                String responseHead = "HTTP/1.1 200 OK\r\nContent-Length: " + RESPONSE_BODY.length() + "\r\n\r\n";
                boolean testAnswers = stage == Stage.IN_FLIGHT || stage == Stage.HALF_ANSWERED;
                Socket serverSocket = testAnswers ? requestSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) : null;
                if (stage == Stage.HALF_ANSWERED) {
                    ScriptedServer.write(serverSocket, responseHead + RESPONSE_BODY.substring(0, 100_000));
                }
                shutdownDone = f.gateway.shutDown();
                if (!testAnswers) {
                    client.write(stage == Stage.HALF_READ ? request.substring(1_000) : request);
                } else {
                    ScriptedServer.write(serverSocket, stage == Stage.IN_FLIGHT ? responseHead + RESPONSE_BODY
                            : RESPONSE_BODY.substring(100_000));
                }
            }
            Message answer = client.read();
            assertTrue(answer.firstLine().contains(" 200 "), answer.firstLine());
            assertEquals(RESPONSE_BODY, answer.body());
            assertEquals(1, server.requests.size());
            client.socket.close();
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Requests the shutdown while the loop is busy and the whole request is in the socket, before it is read. */
    private static CompletableFuture<Void> shutDownWhileUnread(GatewayFixture f, Client client, String request) throws Exception {
        f.get("/ready");
        Runnable resume = f.stallLoop();
        client.write(request);
        CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
        // As long as the gateway would accept requests: what is unread by then must not be closed with the idle connections.
        long shutdownAtNanos = System.nanoTime();
        Await.until("it has lain unread", () -> System.nanoTime() - shutdownAtNanos > TimeUnit.MILLISECONDS.toNanos(1_200));
        resume.run();
        return shutdownDone;
    }
}
