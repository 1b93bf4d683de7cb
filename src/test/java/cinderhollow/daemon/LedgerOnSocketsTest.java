package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedHost.Script;
import cinderhollow.ledger.RequestEnd;
import cinderhollow.ledger.Ledger;
import cinderhollow.ledger.LedgerPlace;
import cinderhollow.policy.Protocol.Outcome;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The ledger of a gateway on sockets: every accepted request is counted exactly once, however it ends. */
class LedgerOnSocketsTest {
    private static final Script SERVES = ScriptedHost.reply("200 OK", "fine");
    private static final int STATUS = 0, SUBMIT = 1;

    @TempDir
    private Path folder;

    private GatewayFixture gateway(String file, ScriptedHost... hosts) throws Exception {
        return GatewayFixture.governed(Files.writeString(folder.resolve("operator.toml"), file).toString(), hosts);
    }

    private static <T> T onLoop(GatewayFixture f, Callable<T> task) {
        try {
            return f.loops().get(0).submit(task).get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static Ledger ledger(GatewayFixture f) {
        return ((Gateway) f.gateway).ledger();
    }

    /** Returns how many requests of the account ended on the clients' side as served, refused, failed and abandoned. */
    private static List<Long> ends(GatewayFixture f, int account) {
        return onLoop(f, () -> {
            List<Long> ends = new ArrayList<>();
            for (RequestEnd end : RequestEnd.values()) {
                ends.add(ledger(f).counters(LedgerPlace.CLIENTS).endedCount(account, end.ordinal()));
            }
            return ends;
        });
    }

    private static long attempts(GatewayFixture f, int account, Outcome outcome) {
        return onLoop(f, () -> ledger(f).counters(LedgerPlace.NODES).endedCount(account, outcome.ordinal()));
    }

    /** Asserts that all sums balance now, and that no breach was found before. */
    private static void assertAddsUp(GatewayFixture f) {
        assertEquals(List.of(), onLoop(f, ((Gateway) f.gateway)::findNewBreaches));
        assertEquals(0, onLoop(f, () -> ledger(f).breachCount()));
    }

    @Test
    void eachEndIsCountedOnceAndWhatIsNotTakenIsNot() throws Exception {
        CompletableFuture<Socket> held = new CompletableFuture<>();
        Script script = (socket, request) -> {
            switch (request.header("X-Request-ID")) {
                case "held" -> held.complete(socket);
                case "error" -> ScriptedHost.reply("500 Error", "no").answer(socket, request);
                default -> SERVES.answer(socket, request);
            }
        };
        try (ScriptedHost a = new ScriptedHost(script);
                GatewayFixture f = gateway("[ledger]\n[class.submit]\nattempts = 1\n", a)) {
            Client client = f.client();
            client.ask(status("s1", LONG_MILLIS));
            client.ask(submit("s2", LONG_MILLIS, "x"));
            assertTrue(f.client().ask(submit("error", LONG_MILLIS, "x")).firstLine().contains(" 502 "));
            // Not accepted, so not counted: a malformed head, an unknown class, an id that is open, a probe.
            f.client().ask("nonsense\r\n\r\n");
            f.client().ask("GET /nowhere HTTP/1.1\r\nHost: x\r\nX-Request-ID: q\r\n\r\n");
            Client leaver = f.client();
            leaver.write(submit("held", LONG_MILLIS, "x"));
            held.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(f.client().ask(submit("held", LONG_MILLIS, "x")).firstLine().contains(" 409 "));
            assertAddsUp(f);
            assertEquals(List.of(1L, 0L, 1L, 0L), ends(f, SUBMIT));
            leaver.socket.close();
            await("the client's leaving", () -> ends(f, SUBMIT).get(RequestEnd.ABANDONED.ordinal()) == 1);
            assertAddsUp(f);
            assertEquals(List.of(1L, 0L, 0L, 0L), ends(f, STATUS));
            assertEquals(3L, onLoop(f, () -> ledger(f).counters(LedgerPlace.CORE).openedCount(SUBMIT)));
        }
    }

    /** All servers are gone: each request is refused when the decision module stops holding it. */
    @Test
    void refusalsAreCountedByWhatGoesOut() throws Exception {
        ScriptedHost gone = new ScriptedHost(SERVES);
        gone.stop();
        try (gone; GatewayFixture f = gateway("[ledger]\n[class.status]\ntotal = \"200ms\"\n", gone)) {
            assertTrue(f.client().ask(status("r", 200)).firstLine().contains(" 503 "));
            assertEquals(List.of(0L, 1L, 0L, 0L), ends(f, STATUS));
            assertTrue(attempts(f, STATUS, Outcome.CONNECT_FAILED) > 0);
            assertAddsUp(f);
        }
    }

    /**
     * Both attempts are answered before the gateway reads either answer; the second is a served attempt of a request that has
     * ended.
     */
    @Test
    void twoCopiesThatEndTogetherAreOneServedRequestAndTwoAttempts() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        Script together = (socket, request) -> {
            both.countDown();
            try {
                both.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            SERVES.answer(socket, request);
        };
        try (ScriptedHost a = new ScriptedHost(together); ScriptedHost b = new ScriptedHost(together);
                GatewayFixture f = gateway("[ledger]\n[class.status.second_copy]\nafter = \"20ms\"\n"
                        + "budget = { share = 1.0 }\n", a, b)) {
            assertEquals("fine", f.client().ask(status("r", LONG_MILLIS)).body());
            await("both attempts' ends", () -> onLoop(f, () -> ledger(f).counters(LedgerPlace.NODES).endedCount(STATUS)) == 2);
            assertEquals(List.of(1L, 0L, 0L, 0L), ends(f, STATUS));
            assertAddsUp(f);
        }
    }

    /**
     * Pipelined requests of a client are accepted one after the other; those that wait when it disconnects are never
     * accepted.
     */
    @Test
    void requestsSentAheadAreTakenInTheirTurn() throws Exception {
        CompletableFuture<Socket> second = new CompletableFuture<>();
        Script script = (socket, request) -> {
            if (request.header("X-Request-ID").equals("p2")) {
                second.complete(socket);
            } else {
                SERVES.answer(socket, request);
            }
        };
        try (ScriptedHost a = new ScriptedHost(script); GatewayFixture f = gateway("[ledger]\n", a)) {
            Client client = f.client();
            client.write(status("p1", LONG_MILLIS) + status("p2", LONG_MILLIS) + status("p3", LONG_MILLIS));
            assertEquals("fine", client.read().body());
            second.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            client.socket.close();
            await("its leaving", () -> ends(f, STATUS).get(RequestEnd.ABANDONED.ordinal()) == 1);
            assertEquals(2L, onLoop(f, () -> ledger(f).counters(LedgerPlace.CLIENTS).openedCount(STATUS)));
            assertAddsUp(f);
        }
    }

    /** Half of the clients disconnect at the moment of shutdown, while all their requests are open. */
    @Test
    void clientsThatLeaveInTheInstantOfAnEndAreAbandonedAndTheOthersAreServed() throws Exception {
        int clients = 40;
        List<Socket> held = Collections.synchronizedList(new ArrayList<>());
        List<ScriptedHost.Message> asked = Collections.synchronizedList(new ArrayList<>());
        List<ScriptedHost> hosts = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            hosts.add(new ScriptedHost((socket, request) -> {
                synchronized (held) {
                    held.add(socket);
                    asked.add(request);
                }
            }));
        }
        try (GatewayFixture f = gateway("[ledger]\n", hosts.toArray(ScriptedHost[]::new))) {
            List<Client> all = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                Client client = f.client();
                all.add(client);
                client.write(submit("c" + i, LONG_MILLIS, "x"));
            }
            await("all requests at hosts", () -> asked.size() == clients);
            CompletableFuture<Void> ended = f.gateway.shutDown();
            for (int i = 0; i < clients; i += 2) {
                all.get(i).socket.close();
            }
            for (int i = 0; i < clients; i++) {
                // For half of the clients that disconnect an answer is sent at the same time, and for the other half none.
                int client = Integer.parseInt(asked.get(i).header("X-Request-ID").substring(1));
                try {
                    if (client % 4 != 0) {
                        SERVES.answer(held.get(i), asked.get(i));
                    }
                } catch (IOException e) {
                    // The gateway may have noticed the disconnect first and closed this connection, but not those of the
                    // other clients.
                    assertEquals(0, client % 2, e.toString());
                }
            }
            for (int i = 1; i < clients; i += 2) {
                assertTrue(all.get(i).read().firstLine().contains(" 200 "));
            }
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            List<Long> ends = ends(f, SUBMIT);
            assertEquals(clients, ends.get(RequestEnd.SERVED.ordinal()) + ends.get(RequestEnd.ABANDONED.ordinal()));
            assertTrue(ends.get(RequestEnd.SERVED.ordinal()) >= clients / 2, ends.toString());
            assertTrue(ends.get(RequestEnd.ABANDONED.ordinal()) >= clients / 4, ends.toString());
            assertAddsUp(f);
        } finally {
            for (ScriptedHost host : hosts) {
                host.close();
            }
        }
    }

    /** A counter is falsified on purpose; the check that runs every second must detect and report it. */
    @Test
    void aLostCloseRaisesTheAlarmByItself() throws Exception {
        try (ScriptedHost a = new ScriptedHost(SERVES); GatewayFixture f = gateway("[ledger]\n", a)) {
            f.client().ask(submit("r", LONG_MILLIS, "x"));
            onLoop(f, () -> {
                ledger(f).counters(LedgerPlace.CLIENTS).recordEnded(SUBMIT, RequestEnd.SERVED, "r");
                return null;
            });
            await("the alarm", () -> onLoop(f, () -> ledger(f).breachCount()) > 0);
        }
    }

    @Test
    void withoutTheTableNobodyKeepsAccount() throws Exception {
        try (ScriptedHost a = new ScriptedHost(SERVES); GatewayFixture f = gateway("[class.status]\nattempts = 2\n", a)) {
            assertEquals(null, ledger(f));
            assertEquals("fine", f.client().ask(status("r", LONG_MILLIS)).body());
        }
    }
}
