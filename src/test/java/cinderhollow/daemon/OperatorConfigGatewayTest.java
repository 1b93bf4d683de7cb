package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.daemon.ScriptedServer.Script;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The operator's file on sockets: routes, time-outs, hedges, Retry-After; and the rejection of ambiguous paths. */
class OperatorConfigGatewayTest {
    private static final Script SERVE_OK = ScriptedServer.reply("200 OK", "fine");

    @TempDir
    private Path folder;

    private GatewayFixture startGateway(String operatorToml, ScriptedServer... servers) throws Exception {
        Path path = Files.writeString(folder.resolve("operator.toml"), operatorToml);
        return GatewayFixture.withOperatorFile(path.toString(), servers);
    }

    /** The first attempt is never answered; both servers wait until the hedge is sent, so the result does not depend on speed. */
    @Test
    void aHedgeAnswersForASilentFirstAttemptWhichIsCancelled() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        Script onlySecondAnswers = (socket, request) -> {
            if (requestCount.incrementAndGet() == 2) {
                SERVE_OK.answer(socket, request);
            }
        };
        try (ScriptedServer a = new ScriptedServer(onlySecondAnswers); ScriptedServer b = new ScriptedServer(onlySecondAnswers);
                GatewayFixture f = startGateway("[class.status.second_copy]\nafter = \"20ms\"\nbudget = { share = 1.0 }\n", a,
                        b)) {
            assertEquals("fine", f.connectClient().exchange(statusRequest("r", LONG_TIMEOUT_MILLIS)).body());
            assertEquals(1, a.requests.size());
            assertEquals(1, b.requests.size());
            await("the end of the first copy", () -> a.connections.get(0).isClosed() || b.connections.get(0).isClosed());
        }
    }

    /** The client has disconnected when the hedge is due, but the disconnect is unread as long as the loop is busy. */
    @Test
    void noHedgeIsSentForAClientWhoseDisconnectIsUnread() throws Exception {
        Script silent = (socket, request) -> { };
        try (ScriptedServer a = new ScriptedServer(silent); ScriptedServer b = new ScriptedServer(silent);
                GatewayFixture f = startGateway("[class.status.second_copy]\nafter = \"500ms\"\nbudget = { share = 1.0 }\n", a,
                        b)) {
            Client client = f.connectClient();
            client.write(statusRequest("r", LONG_TIMEOUT_MILLIS));
            await("the first attempt", () -> a.requests.size() + b.requests.size() == 1);
            Runnable resume = f.stallLoopDuringRead();
            int connectionsBefore = a.connections.size() + b.connections.size();
            client.socket.close();
            long begin = System.nanoTime();
            await("the copy's time", () -> System.nanoTime() - begin > TimeUnit.MILLISECONDS.toNanos(600));
            resume.run();
            await("the client's leaving", () -> f.countOpenRequests() == 0);
            assertEquals(connectionsBefore, a.connections.size() + b.connections.size());
        }
    }

    @Test
    void twoAttemptsThatAnswerTogetherGiveOneResponse() throws Exception {
        CountDownLatch bothReceived = new CountDownLatch(2);
        Script answerTogether = (socket, request) -> {
            bothReceived.countDown();
            try {
                bothReceived.await(GatewayFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            ScriptedServer.reply("200 OK", request.header("X-Request-ID")).answer(socket, request);
        };
        try (ScriptedServer a = new ScriptedServer(answerTogether); ScriptedServer b = new ScriptedServer(answerTogether);
                GatewayFixture f = startGateway("[class.status.second_copy]\nafter = \"20ms\"\nbudget = { share = 1.0 }\n", a,
                        b)) {
            Client client = f.connectClient();
            assertEquals("r1", client.exchange(statusRequest("r1", LONG_TIMEOUT_MILLIS)).body());
            for (int i = 2; i < 20; i++) {
                assertEquals("r" + i, client.exchange(statusRequest("r" + i, LONG_TIMEOUT_MILLIS)).body(),
                        "nothing of the other copy");
            }
        }
    }

    @Test
    void aRoutesAttemptTimeoutEndsAnAttemptAndAnotherServerServes() throws Exception {
        Script noResponse = (socket, request) -> { };
        try (ScriptedServer a = new ScriptedServer(noResponse); ScriptedServer b = new ScriptedServer(noResponse);
                GatewayFixture f = startGateway("""
                        [[route]]
                        method = "GET"
                        path = "/status/{id}"
                        class = "status"
                        attempt_timeout = "100ms"
                        attempts = 2
                        retry_on = ["timed-out"]
                        """, a, b)) {
            Client client = f.connectClient();
            client.write(statusRequest("r", LONG_TIMEOUT_MILLIS));
            await("the first attempt", () -> a.requests.size() + b.requests.size() == 1);
            (a.requests.isEmpty() ? a : b).setScript(SERVE_OK);
            assertEquals("fine", client.read().body());
            assertEquals(2, a.requests.size() + b.requests.size());
        }
    }

    /** The attempts of the route would take 20 s; this client waits 300 ms. */
    @Test
    void theFinalAnswerComesWithinTheClientsOwnTime() throws Exception {
        try (ScriptedServer a = new ScriptedServer((socket, request) -> { });
                ScriptedServer b = new ScriptedServer((socket, request) -> { });
                GatewayFixture f = startGateway("[class.status]\nattempt_timeout = \"200ms\"\nattempts = 3\n"
                        + "retry_on = [\"timed-out\"]\nbackoff = \"100ms\"\n", a, b)) {
            Message answer = f.connectClient().exchange(statusRequest("r", 300));
            assertTrue(answer.firstLine().contains(" 503 "), answer.firstLine());
            assertTrue(a.requests.size() + b.requests.size() <= 2);
        }
    }

    @Test
    void aSubmitIsSentOnceWhateverTheFileSetsForOthers() throws Exception {
        Script resets = (socket, request) -> ScriptedServer.reset(socket);
        try (ScriptedServer a = new ScriptedServer(resets); ScriptedServer b = new ScriptedServer(resets);
                GatewayFixture f = startGateway("[class.status]\nattempts = 3\nretry_on = [\"reset\"]\n"
                        + "second_copy = { after = \"10ms\" }\n", a, b)) {
            assertTrue(f.connectClient().exchange(submitRequest("r", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 502 "));
            assertEquals(1, a.requests.size() + b.requests.size());
        }
    }

    @Test
    void aRefusalCarriesRetryAfter() throws Exception {
        Script notProcessed = ScriptedServer.reply("503 Service Unavailable", "", "X-Not-Processed: 1");
        try (ScriptedServer a = new ScriptedServer(notProcessed); GatewayFixture f =
                startGateway("[class.status]\nretry_after = \"250ms\"\n", a)) {
            Message refused = f.connectClient().exchange(statusRequest("r", 400));
            assertTrue(refused.firstLine().contains(" 503 "), refused.firstLine());
            assertEquals("0.250", refused.header("Retry-After"));
        }
    }

    /** A request with such a path is sent to no server, with an operator's file and without one. */
    @ParameterizedTest
    @ValueSource(strings = {"/status/../submit", "/status/%2e%2e/submit", "//submit", "/status%2f..%2fsubmit",
        "/status/..;x/submit", "/status\\..\\submit", "/%73tatus"})
    void anAmbiguousPathIsRejected(String path) throws Exception {
        try (ScriptedServer a = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(a);
                GatewayFixture g = startGateway("[class.status]\nattempts = 2\n", a)) {
            for (GatewayFixture each : List.of(f, g)) {
                Message answer = each.connectClient().exchange("GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\n\r\n");
                assertTrue(answer.firstLine().contains(" 400 "), answer.firstLine());
            }
            assertEquals(0, a.requests.size());
        }
    }

    @Test
    void aBadFileStopsTheStartAndAllItsFindingsAreListed() {
        String text = assertThrows(IllegalArgumentException.class, () -> {
            Path path = Files.writeString(folder.resolve("bad.toml"), "[class.submit]\nretry_on = [\"reset\"]\nattempts = 77\n");
            GatewayConfig.read(cinderhollow.core.Json.of(Map.of("seed", "1", "settings", cinderhollow.core.Json.read(
                    GatewayFixture.SETTINGS.replace("IDLE", "1000")).value())), null, null, path.toString());
        }).getMessage();
        assertTrue(text.contains("nothing of it is used") && text.contains("[retry-may-run-twice]")
                && text.contains("[number-range]"), text);
    }
}
