package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedHost.Message;
import cinderhollow.daemon.ScriptedHost.Script;
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
class OperatorTest {
    private static final Script SERVES = ScriptedHost.reply("200 OK", "fine");

    @TempDir
    private Path folder;

    private GatewayFixture gateway(String file, ScriptedHost... hosts) throws Exception {
        Path path = Files.writeString(folder.resolve("operator.toml"), file);
        return GatewayFixture.governed(path.toString(), hosts);
    }

    /** The first attempt is never answered; both servers wait until the hedge is sent, so the result does not depend on speed. */
    @Test
    void aSecondCopyAnswersForAFirstThatIsSilentAndTheFirstIsCalledOff() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        Script onlySecondAnswers = (socket, request) -> {
            if (asked.incrementAndGet() == 2) {
                SERVES.answer(socket, request);
            }
        };
        try (ScriptedHost a = new ScriptedHost(onlySecondAnswers); ScriptedHost b = new ScriptedHost(onlySecondAnswers);
                GatewayFixture f = gateway("[class.status.second_copy]\nafter = \"20ms\"\nbudget = { share = 1.0 }\n", a, b)) {
            assertEquals("fine", f.client().ask(status("r", LONG_MILLIS)).body());
            assertEquals(1, a.requests.size());
            assertEquals(1, b.requests.size());
            await("the end of the first copy", () -> a.connections.get(0).isClosed() || b.connections.get(0).isClosed());
        }
    }

    /** The client has disconnected when the hedge is due, but the disconnect is unread as long as the loop is busy. */
    @Test
    void noSecondCopyGoesOutForAClientWhoseLeavingLiesUnread() throws Exception {
        Script silent = (socket, request) -> { };
        try (ScriptedHost a = new ScriptedHost(silent); ScriptedHost b = new ScriptedHost(silent);
                GatewayFixture f = gateway("[class.status.second_copy]\nafter = \"500ms\"\nbudget = { share = 1.0 }\n", a, b)) {
            Client client = f.client();
            client.write(status("r", LONG_MILLIS));
            await("the first attempt", () -> a.requests.size() + b.requests.size() == 1);
            Runnable goOn = f.holdLoopAtItsSockets();
            int sent = a.connections.size() + b.connections.size();
            client.socket.close();
            long begin = System.nanoTime();
            await("the copy's time", () -> System.nanoTime() - begin > TimeUnit.MILLISECONDS.toNanos(600));
            goOn.run();
            await("the client's leaving", () -> f.open() == 0);
            assertEquals(sent, a.connections.size() + b.connections.size());
        }
    }

    @Test
    void twoCopiesThatAnswerTogetherGiveOneAnswer() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        Script together = (socket, request) -> {
            both.countDown();
            try {
                both.await(GatewayFixture.PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            ScriptedHost.reply("200 OK", request.header("X-Request-ID")).answer(socket, request);
        };
        try (ScriptedHost a = new ScriptedHost(together); ScriptedHost b = new ScriptedHost(together);
                GatewayFixture f = gateway("[class.status.second_copy]\nafter = \"20ms\"\nbudget = { share = 1.0 }\n", a, b)) {
            Client client = f.client();
            assertEquals("r1", client.ask(status("r1", LONG_MILLIS)).body());
            for (int i = 2; i < 20; i++) {
                assertEquals("r" + i, client.ask(status("r" + i, LONG_MILLIS)).body(), "nothing of the other copy");
            }
        }
    }

    @Test
    void aRoutesTimeOutEndsAnAttemptAndAnotherHostServes() throws Exception {
        Script silentOnce = (socket, request) -> { };
        try (ScriptedHost a = new ScriptedHost(silentOnce); ScriptedHost b = new ScriptedHost(silentOnce);
                GatewayFixture f = gateway("""
                        [[route]]
                        method = "GET"
                        path = "/status/{id}"
                        class = "status"
                        attempt_timeout = "100ms"
                        attempts = 2
                        retry_on = ["timed-out"]
                        """, a, b)) {
            Client client = f.client();
            client.write(status("r", LONG_MILLIS));
            await("the first attempt", () -> a.requests.size() + b.requests.size() == 1);
            (a.requests.isEmpty() ? a : b).script(SERVES);
            assertEquals("fine", client.read().body());
            assertEquals(2, a.requests.size() + b.requests.size());
        }
    }

    /** The attempts of the route would take 20 s; this client waits 300 ms. */
    @Test
    void theFinalAnswerComesWithinTheClientsOwnTime() throws Exception {
        try (ScriptedHost a = new ScriptedHost((socket, request) -> { });
                ScriptedHost b = new ScriptedHost((socket, request) -> { });
                GatewayFixture f = gateway("[class.status]\nattempt_timeout = \"200ms\"\nattempts = 3\n"
                        + "retry_on = [\"timed-out\"]\nbackoff = \"100ms\"\n", a, b)) {
            Message answer = f.client().ask(status("r", 300));
            assertTrue(answer.firstLine().contains(" 503 "), answer.firstLine());
            assertTrue(a.requests.size() + b.requests.size() <= 2);
        }
    }

    @Test
    void aSubmitIsSentOnceWhateverTheFileSetsForOthers() throws Exception {
        Script resets = (socket, request) -> ScriptedHost.reset(socket);
        try (ScriptedHost a = new ScriptedHost(resets); ScriptedHost b = new ScriptedHost(resets);
                GatewayFixture f = gateway("[class.status]\nattempts = 3\nretry_on = [\"reset\"]\n"
                        + "second_copy = { after = \"10ms\" }\n", a, b)) {
            assertTrue(f.client().ask(submit("r", LONG_MILLIS, "x")).firstLine().contains(" 502 "));
            assertEquals(1, a.requests.size() + b.requests.size());
        }
    }

    @Test
    void aRefusalTellsWhenToComeBack() throws Exception {
        Script full = ScriptedHost.reply("503 Service Unavailable", "", "X-Not-Processed: 1");
        try (ScriptedHost a = new ScriptedHost(full); GatewayFixture f = gateway("[class.status]\nretry_after = \"250ms\"\n", a)) {
            Message refused = f.client().ask(status("r", 400));
            assertTrue(refused.firstLine().contains(" 503 "), refused.firstLine());
            assertEquals("0.250", refused.header("Retry-After"));
        }
    }

    /** A request with such a path is sent to no server, with an operator's file and without one. */
    @ParameterizedTest
    @ValueSource(strings = {"/status/../submit", "/status/%2e%2e/submit", "//submit", "/status%2f..%2fsubmit",
        "/status/..;x/submit", "/status\\..\\submit", "/%73tatus"})
    void aPathWithTwoMeaningsIsTurnedAway(String path) throws Exception {
        try (ScriptedHost a = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(a);
                GatewayFixture g = gateway("[class.status]\nattempts = 2\n", a)) {
            for (GatewayFixture each : List.of(f, g)) {
                Message answer = each.client().ask("GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\n\r\n");
                assertTrue(answer.firstLine().contains(" 400 "), answer.firstLine());
            }
            assertEquals(0, a.requests.size());
        }
    }

    @Test
    void aBadFileStopsTheStartWithAllItsFaults() {
        String text = assertThrows(IllegalArgumentException.class, () -> {
            Path path = Files.writeString(folder.resolve("bad.toml"), "[class.submit]\nretry_on = [\"reset\"]\nattempts = 77\n");
            GatewayConfig.read(cinderhollow.core.Json.of(Map.of("seed", "1", "settings", cinderhollow.core.Json.read(
                    GatewayFixture.SETTINGS.replace("IDLE", "1000")).value())), null, null, path.toString());
        }).getMessage();
        assertTrue(text.contains("nothing of it is used") && text.contains("[retry-may-run-twice]")
                && text.contains("[number-range]"), text);
    }
}
