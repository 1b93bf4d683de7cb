package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedHost.Message;
import cinderhollow.testing.Await;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A request is answered completely and exactly once, whatever its stage is when the shutdown of the process is requested. */
class EndStagesTest {
    /** Stage of the request when the shutdown is requested. */
    private enum Stage { ACCEPTED, HALF_READ, UNREAD, OUT, HALF_ANSWERED }

    private static final String BODY = "x".repeat(3_000), ANSWER = "y".repeat(200_000);

    @ParameterizedTest
    @EnumSource
    void whatWasTakenIsAnsweredWholeAndThenTheProcessEnds(Stage stage) throws Exception {
        CompletableFuture<Socket> asked = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            if (stage == Stage.OUT || stage == Stage.HALF_ANSWERED) {
                asked.complete(socket);
            } else {
                ScriptedHost.reply("200 OK", ANSWER).answer(socket, request);
            }
        }); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            String request = submit("r1", LONG_MILLIS, BODY);
            CompletableFuture<Void> ended;
            if (stage == Stage.UNREAD) {
                ended = endWhileUnread(f, client, request);
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
                String head = "HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER.length() + "\r\n\r\n";
                boolean answers = stage == Stage.OUT || stage == Stage.HALF_ANSWERED;
                Socket out = answers ? asked.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS) : null;
                if (stage == Stage.HALF_ANSWERED) {
                    ScriptedHost.write(out, head + ANSWER.substring(0, 100_000));
                }
                ended = f.gateway.shutDown();
                if (!answers) {
                    client.write(stage == Stage.HALF_READ ? request.substring(1_000) : request);
                } else {
                    ScriptedHost.write(out, stage == Stage.OUT ? head + ANSWER : ANSWER.substring(100_000));
                }
            }
            Message answer = client.read();
            assertTrue(answer.firstLine().contains(" 200 "), answer.firstLine());
            assertEquals(ANSWER, answer.body());
            assertEquals(1, host.requests.size());
            client.socket.close();
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Requests the shutdown while the loop is busy and the whole request is in the socket, before it is read. */
    private static CompletableFuture<Void> endWhileUnread(GatewayFixture f, Client client, String request) throws Exception {
        f.get("/ready");
        Runnable goOn = f.holdLoop();
        client.write(request);
        CompletableFuture<Void> ended = f.gateway.shutDown();
        // As long as the gateway would accept requests: what is unread by then must not be closed with the idle connections.
        long asked = System.nanoTime();
        Await.until("it has lain unread", () -> System.nanoTime() - asked > TimeUnit.MILLISECONDS.toNanos(1_200));
        goOn.run();
        return ended;
    }
}
