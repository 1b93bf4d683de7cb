package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Script;
import cinderhollow.ledger.Ledger;
import cinderhollow.ledger.LedgerPlace;
import cinderhollow.ledger.RequestEnd;
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
class GatewayLedgerTest {
    private static final Script SERVE_OK = ScriptedServer.reply("200 OK", "fine");
    private static final int STATUS_ACCOUNT = 0, SUBMIT_ACCOUNT = 1;

    @TempDir
    private Path folder;

    private GatewayFixture startGateway(String operatorToml, ScriptedServer... servers) throws Exception {
        return GatewayFixture.withOperatorFile(Files.writeString(folder.resolve("operator.toml"), operatorToml).toString(),
                servers);
    }

    private static <T> T runOnLoop(GatewayFixture f, Callable<T> task) {
        try {
            return f.eventLoops().get(0).submit(task).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static Ledger ledger(GatewayFixture f) {
        return ((Gateway) f.gateway).ledger();
    }

    /** Returns how many requests of the account ended on the clients' side as served, refused, failed and abandoned. */
    private static List<Long> countEnds(GatewayFixture f, int account) {
        return runOnLoop(f, () -> {
            List<Long> ends = new ArrayList<>();
            for (RequestEnd end : RequestEnd.values()) {
                ends.add(ledger(f).counters(LedgerPlace.CLIENTS).endedCount(account, end.ordinal()));
            }
            return ends;
        });
    }

    private static long countAttempts(GatewayFixture f, int account, Outcome outcome) {
        return runOnLoop(f, () -> ledger(f).counters(LedgerPlace.NODES).endedCount(account, outcome.ordinal()));
    }

    /** Asserts that all sums balance now, and that no breach was found before. */
    private static void assertAddsUp(GatewayFixture f) {
        assertEquals(List.of(), runOnLoop(f, ((Gateway) f.gateway)::findNewBreaches));
        assertEquals(0, runOnLoop(f, () -> ledger(f).breachCount()));
    }

    @Test
    void eachEndIsCountedOnceAndRejectedRequestsAreNot() throws Exception {
        CompletableFuture<Socket> heldSocket = new CompletableFuture<>();
        Script script = (socket, request) -> {
            switch (request.header("X-Request-ID")) {
                case "held" -> heldSocket.complete(socket);
                case "error" -> ScriptedServer.reply("500 Error", "no").answer(socket, request);
                default -> SERVE_OK.answer(socket, request);
            }
        };
        try (ScriptedServer a = new ScriptedServer(script);
                GatewayFixture f = startGateway("[ledger]\n[class.submit]\nattempts = 1\n", a)) {
            Client client = f.connectClient();
            client.exchange(statusRequest("s1", LONG_TIMEOUT_MILLIS));
            client.exchange(submitRequest("s2", LONG_TIMEOUT_MILLIS, "x"));
            assertTrue(f.connectClient().exchange(submitRequest("error", LONG_TIMEOUT_MILLIS, "x")).firstLine()
                    .contains(" 502 "));
            // Not accepted, so not counted: a malformed head, an unknown class, an id that is open, a probe.
            f.connectClient().exchange("nonsense\r\n\r\n");
            f.connectClient().exchange("GET /nowhere HTTP/1.1\r\nHost: x\r\nX-Request-ID: q\r\n\r\n");
            Client leavingClient = f.connectClient();
            leavingClient.write(submitRequest("held", LONG_TIMEOUT_MILLIS, "x"));
            heldSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(f.connectClient().exchange(submitRequest("held", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 409 "));
            assertAddsUp(f);
            assertEquals(List.of(1L, 0L, 1L, 0L), countEnds(f, SUBMIT_ACCOUNT));
            leavingClient.socket.close();
            await("the client's leaving", () -> countEnds(f, SUBMIT_ACCOUNT).get(RequestEnd.ABANDONED.ordinal()) == 1);
            assertAddsUp(f);
            assertEquals(List.of(1L, 0L, 0L, 0L), countEnds(f, STATUS_ACCOUNT));
            assertEquals(3L, runOnLoop(f, () -> ledger(f).counters(LedgerPlace.CORE).openedCount(SUBMIT_ACCOUNT)));
        }
    }

    /** All servers are gone: each request is refused when the decision module stops holding it. */
    @Test
    void refusalsAreCountedByTheResponseSent() throws Exception {
        ScriptedServer stoppedServer = new ScriptedServer(SERVE_OK);
        stoppedServer.stop();
        try (stoppedServer; GatewayFixture f = startGateway("[ledger]\n[class.status]\ntotal = \"200ms\"\n", stoppedServer)) {
            assertTrue(f.connectClient().exchange(statusRequest("r", 200)).firstLine().contains(" 503 "));
            assertEquals(List.of(0L, 1L, 0L, 0L), countEnds(f, STATUS_ACCOUNT));
            assertTrue(countAttempts(f, STATUS_ACCOUNT, Outcome.CONNECT_FAILED) > 0);
            assertAddsUp(f);
        }
    }

    /**
     * Both attempts are answered before the gateway reads either answer; the second is a served attempt of a request that has
     * ended.
     */
    @Test
    void aHedgeThatEndsWithItsFirstAttemptIsOneServedRequestAndTwoAttempts() throws Exception {
        CountDownLatch bothReceived = new CountDownLatch(2);
        Script answerTogether = (socket, request) -> {
            bothReceived.countDown();
            try {
                bothReceived.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            SERVE_OK.answer(socket, request);
        };
        try (ScriptedServer a = new ScriptedServer(answerTogether); ScriptedServer b = new ScriptedServer(answerTogether);
                GatewayFixture f = startGateway("[ledger]\n[class.status.second_copy]\nafter = \"20ms\"\n"
                        + "budget = { share = 1.0 }\n", a, b)) {
            assertEquals("fine", f.connectClient().exchange(statusRequest("r", LONG_TIMEOUT_MILLIS)).body());
            await("both attempts' ends", () -> runOnLoop(f, () -> ledger(f).counters(LedgerPlace.NODES)
                    .endedCount(STATUS_ACCOUNT)) == 2);
            assertEquals(List.of(1L, 0L, 0L, 0L), countEnds(f, STATUS_ACCOUNT));
            assertAddsUp(f);
        }
    }

    /**
     * Pipelined requests of a client are accepted one after the other; those that wait when it disconnects are never
     * accepted.
     */
    @Test
    void pipelinedRequestsAreCountedInTheirTurn() throws Exception {
        CompletableFuture<Socket> secondSocket = new CompletableFuture<>();
        Script script = (socket, request) -> {
            if (request.header("X-Request-ID").equals("p2")) {
                secondSocket.complete(socket);
            } else {
                SERVE_OK.answer(socket, request);
            }
        };
        try (ScriptedServer a = new ScriptedServer(script); GatewayFixture f = startGateway("[ledger]\n", a)) {
            Client client = f.connectClient();
            client.write(statusRequest("p1", LONG_TIMEOUT_MILLIS) + statusRequest("p2", LONG_TIMEOUT_MILLIS)
                    + statusRequest("p3", LONG_TIMEOUT_MILLIS));
            assertEquals("fine", client.read().body());
            secondSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            client.socket.close();
            await("its leaving", () -> countEnds(f, STATUS_ACCOUNT).get(RequestEnd.ABANDONED.ordinal()) == 1);
            assertEquals(2L, runOnLoop(f, () -> ledger(f).counters(LedgerPlace.CLIENTS).openedCount(STATUS_ACCOUNT)));
            assertAddsUp(f);
        }
    }

    /** Half of the clients disconnect at the moment of shutdown, while all their requests are open. */
    @Test
    void clientsThatLeaveAtShutdownAreAbandonedAndTheOthersAreServed() throws Exception {
        int clientCount = 40;
        List<Socket> heldSockets = Collections.synchronizedList(new ArrayList<>());
        List<ScriptedServer.Message> heldRequests = Collections.synchronizedList(new ArrayList<>());
        List<ScriptedServer> servers = new ArrayList<>();
        for (int i = 0; i < clientCount; i++) {
            servers.add(new ScriptedServer((socket, request) -> {
                synchronized (heldSockets) {
                    heldSockets.add(socket);
                    heldRequests.add(request);
                }
            }));
        }
        try (GatewayFixture f = startGateway("[ledger]\n", servers.toArray(ScriptedServer[]::new))) {
            List<Client> allClients = new ArrayList<>();
            for (int i = 0; i < clientCount; i++) {
                Client client = f.connectClient();
                allClients.add(client);
                client.write(submitRequest("c" + i, LONG_TIMEOUT_MILLIS, "x"));
            }
            await("all requests at hosts", () -> heldRequests.size() == clientCount);
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            for (int i = 0; i < clientCount; i += 2) {
                allClients.get(i).socket.close();
            }
            for (int i = 0; i < clientCount; i++) {
                // For half of the clients that disconnect an answer is sent at the same time, and for the other half none.
                int client = Integer.parseInt(heldRequests.get(i).header("X-Request-ID").substring(1));
                try {
                    if (client % 4 != 0) {
                        SERVE_OK.answer(heldSockets.get(i), heldRequests.get(i));
                    }
                } catch (IOException e) {
                    // The gateway may have noticed the disconnect first and closed this connection, but not those of the
                    // other clients.
                    assertEquals(0, client % 2, e.toString());
                }
            }
            for (int i = 1; i < clientCount; i += 2) {
                assertTrue(allClients.get(i).read().firstLine().contains(" 200 "));
            }
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            List<Long> ends = countEnds(f, SUBMIT_ACCOUNT);
            assertEquals(clientCount, ends.get(RequestEnd.SERVED.ordinal()) + ends.get(RequestEnd.ABANDONED.ordinal()));
            assertTrue(ends.get(RequestEnd.SERVED.ordinal()) >= clientCount / 2, ends.toString());
            assertTrue(ends.get(RequestEnd.ABANDONED.ordinal()) >= clientCount / 4, ends.toString());
            assertAddsUp(f);
        } finally {
            for (ScriptedServer server : servers) {
                server.close();
            }
        }
    }

    /** A counter is falsified on purpose; the check that runs every second must detect and report it. */
    @Test
    void anUnbalancedCounterIsReportedAsABreach() throws Exception {
        try (ScriptedServer a = new ScriptedServer(SERVE_OK); GatewayFixture f = startGateway("[ledger]\n", a)) {
            f.connectClient().exchange(submitRequest("r", LONG_TIMEOUT_MILLIS, "x"));
            runOnLoop(f, () -> {
                ledger(f).counters(LedgerPlace.CLIENTS).recordEnded(SUBMIT_ACCOUNT, RequestEnd.SERVED, "r");
                return null;
            });
            await("the alarm", () -> runOnLoop(f, () -> ledger(f).breachCount()) > 0);
        }
    }

    @Test
    void withoutALedgerTableThereIsNoLedger() throws Exception {
        try (ScriptedServer a = new ScriptedServer(SERVE_OK); GatewayFixture f =
                startGateway("[class.status]\nattempts = 2\n", a)) {
            assertEquals(null, ledger(f));
            assertEquals("fine", f.connectClient().exchange(statusRequest("r", LONG_TIMEOUT_MILLIS)).body());
        }
    }
}
