package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Reproduces the incident under fault injection: a real process gets no CPU for a while (SIGSTOP, SIGCONT). Afterwards it acts
 * on what it knew before, or on the time at which it reads, although later events are still unread in its sockets.
 */
class StalledProcessTest {
    private static final ScriptedServer.Script SERVE_OK = ScriptedServer.reply("200 OK", "served");
    private static final long STALL_MILLIS = 700;
    private static final int CLIENT_COUNT = 12, BURST_SIZE = 400;
    private static final long SETTLE_MILLIS = 200;
    /** Tolerance of the rules on forwarded deadlines and on attempts after a client's disconnect. */
    private static final long DEADLINE_SLACK_MILLIS = 150;

    @TempDir
    private Path folder;

    private static List<String> requestIds(ScriptedServer server) {
        return server.requests.stream().map(request -> request.header("X-Request-ID")).toList();
    }

    private static long forwardedTimeoutMillis(Message request) {
        String micros = request.header("X-Timeout");
        assertTrue(micros.endsWith("u"), micros);
        return TimeUnit.MICROSECONDS.toMillis(Long.parseLong(micros.substring(0, micros.length() - 1)));
    }

    /**
     * Asserts that a request is served; by then everything that the gateway sends for earlier requests has reached the
     * servers.
     */
    private static void assertServes(GatewayProcess gateway, String id) throws Exception {
        assertTrue(gateway.connectClient().exchange(statusRequest(id, LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "),
                gateway.log());
    }

    @Test
    void aRequestIsNotForwardedWhoseClientLeftDuringTheStall() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayProcess gateway =
                GatewayProcess.start(folder, server)) {
            assertServes(gateway, "first");
            Client keptClient = gateway.connectClient();
            assertTrue(keptClient.exchange(statusRequest("kept", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
            gateway.pause();
            Client newClient = gateway.connectClient();
            for (Client client : List.of(keptClient, newClient)) {
                client.write(submitRequest(client == keptClient ? "left-kept" : "left-new", LONG_TIMEOUT_MILLIS, "x"));
                client.socket.close();
            }
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            assertServes(gateway, "last");
            assertEquals(List.of("first", "kept", "last"), requestIds(server));
        }
    }

    /**
     * Guards against requests that are forwarded after their clients have left, where the connections of a burst are accepted one
     * after the other when the stall is over.
     */
    @Test
    void noRequestOfABurstIsForwardedWhoseClientsLeftDuringTheStall() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayProcess gateway =
                GatewayProcess.start(folder, server)) {
            assertServes(gateway, "first");
            gateway.pause();
            for (int i = 0; i < BURST_SIZE; i++) {
                Client client = gateway.connectClient();
                client.write(submitRequest("left-" + i, LONG_TIMEOUT_MILLIS, "x"));
                client.socket.close();
            }
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            assertServes(gateway, "last");
            assertEquals(List.of("first", "last"), requestIds(server));
        }
    }

    /** The server's connection is established and the client disconnects in the same stall; the connection is reported first. */
    @Test
    void aRequestIsNotForwardedOnAConnectionThatCameUpDuringTheStallAfterItsClientLeft() throws Exception {
        try (ScriptedServer server = ScriptedServer.withFullBacklog(SERVE_OK); GatewayProcess gateway =
                GatewayProcess.start(folder, server)) {
            Client leavingClient = gateway.connectClient();
            leavingClient.write(submitRequest("left", LONG_TIMEOUT_MILLIS, "x"));
            // The first connect is over by then, and the next follows a second later.
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.pause();
            server.startAccepting();
            await("its connection", () -> server.countGatewayConnections() >= 1);
            leavingClient.socket.close();
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            assertServes(gateway, "last");
            assertEquals(List.of("last"), requestIds(server));
        }
    }

    @Test
    void theForwardedDeadlineIsWhatTheClientHasLeftAfterTheStall() throws Exception {
        long timeoutMillis = 1_500;
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayProcess gateway =
                GatewayProcess.start(folder, server)) {
            assertServes(gateway, "first");
            Client keptClient = gateway.connectClient();
            assertTrue(keptClient.exchange(statusRequest("kept", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
            gateway.pause();
            keptClient.write(statusRequest("waited", (int) timeoutMillis));
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            Message answer = keptClient.read();
            assertTrue(answer != null && (answer.firstLine().contains(" 200 ") || answer.firstLine().contains(" 503 ")),
                    gateway.log());
            for (Message request : server.requests) {
                if (request.header("X-Request-ID").equals("waited")) {
                    long leftMillis = timeoutMillis - STALL_MILLIS;
                    assertTrue(forwardedTimeoutMillis(request) <= leftMillis + DEADLINE_SLACK_MILLIS,
                            request.header("X-Timeout"));
                }
            }
        }
    }

    /**
     * A request that arrives after a stall has its whole time. Formerly the lateness of one stall was subtracted from the time of
     * each request for some seconds, on the assumption that the stall would recur.
     */
    @Test
    void aRequestThatComesAfterTheStallHasAllOfItsTime() throws Exception {
        int timeoutMillis = 1_500;
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayProcess gateway =
                GatewayProcess.start(folder, server)) {
            assertServes(gateway, "first");
            gateway.pause();
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            assertServes(gateway, "awake");
            // Until the loop has read all of its sockets again, what it reads may have arrived during the stall.
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
            assertTrue(gateway.connectClient().exchange(statusRequest("after", timeoutMillis)).firstLine().contains(" 200 "),
                    gateway.log());
            Message after = server.requests.get(server.requests.size() - 1);
            assertEquals("after", after.header("X-Request-ID"));
            assertTrue(forwardedTimeoutMillis(after) > timeoutMillis - DEADLINE_SLACK_MILLIS, after.header("X-Timeout"));
        }
    }

    /** The request waits for over a second for its server's connection; the server must not be given that time as well. */
    @Test
    void theForwardedDeadlineIsWhatTheClientHasLeftWhenTheConnectionIsUpLate() throws Exception {
        try (ScriptedServer server = ScriptedServer.withFullBacklog(SERVE_OK); GatewayProcess gateway =
                GatewayProcess.start(folder, server)) {
            Client client = gateway.connectClient();
            long sentAtNanos = System.nanoTime();
            client.write(submitRequest("late", LONG_TIMEOUT_MILLIS, "x"));
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            server.startAccepting();
            await("the request", () -> !server.requests.isEmpty());
            long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos);
            long forwardedMillis = forwardedTimeoutMillis(server.requests.get(0));
            assertTrue(forwardedMillis <= LONG_TIMEOUT_MILLIS - STALL_MILLIS + DEADLINE_SLACK_MILLIS, forwardedMillis
                    + " ms after " + waitedMillis + " ms");
            assertTrue(client.read().firstLine().contains(" 200 "));
        }
    }

    /**
     * The first server rejects the request in the stall in which its client disconnects; the retry is due before that is
     * read.
     */
    @Test
    void noRetryIsSentForAClientThatLeftDuringTheStall() throws Exception {
        CountDownLatch clientLeft = new CountDownLatch(1);
        ScriptedServer.Script rejectAfterDisconnect = (socket, request) -> {
            if (request.header("X-Request-ID").equals("last")) {
                SERVE_OK.answer(socket, request);
                return;
            }
            ScriptedServer.await(clientLeft);
            ScriptedServer.write(socket, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
        };
        try (ScriptedServer firstServer = new ScriptedServer(rejectAfterDisconnect); ScriptedServer secondServer =
                new ScriptedServer(rejectAfterDisconnect);
                GatewayProcess gateway = GatewayProcess.start(folder, firstServer, secondServer)) {
            assertNotRetriedAfterDisconnect(gateway, submitRequest("left", LONG_TIMEOUT_MILLIS, "x"), clientLeft, firstServer,
                    secondServer);
        }
    }

    /** The hedge of a request falls due in the stall in which its client disconnects. */
    @Test
    void noHedgeIsSentForAClientThatLeftDuringTheStall() throws Exception {
        Path operatorFile = Files.writeString(folder.resolve("operator.toml"), "[class.status.second_copy]\nafter = \""
                + STALL_MILLIS / 2
                + "ms\"\nbudget = { share = 1.0 }\n");
        ScriptedServer.Script answerOnlyLast = (socket, request) -> {
            if (request.header("X-Request-ID").equals("last")) {
                SERVE_OK.answer(socket, request);
            }
        };
        try (ScriptedServer firstServer = new ScriptedServer(answerOnlyLast); ScriptedServer secondServer =
                new ScriptedServer(answerOnlyLast);
                GatewayProcess gateway = GatewayProcess.start(folder, Map.of("LB_OPERATOR", operatorFile.toString()),
                        firstServer, secondServer)) {
            assertNotRetriedAfterDisconnect(gateway, statusRequest("left", LONG_TIMEOUT_MILLIS), new CountDownLatch(1),
                    firstServer, secondServer);
        }
    }

    /**
     * Sends a request, disconnects while the gateway is stopped after its first attempt, and asserts that no other server
     * gets it.
     */
    private void assertNotRetriedAfterDisconnect(GatewayProcess gateway, String request, CountDownLatch clientLeft,
            ScriptedServer firstServer, ScriptedServer secondServer)
            throws Exception {
        Client client = gateway.connectClient();
        client.write(request);
        await("the first attempt", () -> firstServer.requests.size() + secondServer.requests.size() == 1);
        gateway.pause();
        client.socket.close();
        clientLeft.countDown();
        TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
        gateway.resume();
        assertServes(gateway, "last");
        TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
        List<String> allIds = new ArrayList<>(requestIds(firstServer));
        allIds.addAll(requestIds(secondServer));
        assertEquals(1, allIds.stream().filter("left"::equals).count(), gateway.log());
    }

    /**
     * Discovery's notice of the drain and a request are both unread, and the request is reported first; the drain grace is over
     * by the end of the stall.
     */
    @Test
    void aRequestDoesNotGoToAServerThatWasDrainedDuringTheStall() throws Exception {
        CountDownLatch startDraining = new CountDownLatch(1);
        CountDownLatch drainingSent = new CountDownLatch(1);
        try (ScriptedServer drainingServer = new ScriptedServer(SERVE_OK); ScriptedServer upServer = new ScriptedServer(SERVE_OK);
                ScriptedServer discovery = new ScriptedServer((socket, request) -> {
                    GatewayFixture.startWatchResponse(socket);
                    GatewayFixture.sendWatchLine(socket, GatewayFixture.endpointListJson(2, false, List.of()));
                    ScriptedServer.await(startDraining);
                    GatewayFixture.sendWatchLine(socket,
                            GatewayFixture.endpointListJson(3, false, List.of(GatewayFixture.endpointJson("s-0", drainingServer,
                            "draining", 0))));
                    drainingSent.countDown();
                });
                GatewayProcess gateway = GatewayProcess.start(folder, Map.of("LB_DISCOVERY", discovery.addressText()),
                        drainingServer, upServer)) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < CLIENT_COUNT; i++) {
                clients.add(gateway.connectClient());
                assertTrue(clients.get(i).exchange(statusRequest("before-" + i, LONG_TIMEOUT_MILLIS)).firstLine()
                        .contains(" 200 "));
            }
            assertTrue(!drainingServer.requests.isEmpty(), "it serves as long as it is up");
            gateway.pause();
            for (Client client : clients) {
                client.write(statusRequest("after", LONG_TIMEOUT_MILLIS).replace("after", "after-" + clients.indexOf(client)));
            }
            assertEquals(CLIENT_COUNT, drainingServer.requests.size() + upServer.requests.size(),
                    "what comes before the drain is no breach of it");
            startDraining.countDown();
            assertTrue(drainingSent.await(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            TimeUnit.MILLISECONDS.sleep(2 * STALL_MILLIS);
            gateway.resume();
            for (Client client : clients) {
                assertTrue(client.read().firstLine().contains(" 200 "), gateway.log());
            }
            assertEquals(List.of(), requestIds(drainingServer).stream().filter(id -> id.startsWith("after")).toList(),
                    gateway.log());
        }
    }

    /**
     * The server's connection is established in the stall and is reported before discovery's notice of the drain, which is
     * unread.
     */
    @Test
    void aRequestDoesNotGoOutOnAConnectionThatCameUpDuringTheStallToAServerThatWasDrained() throws Exception {
        CountDownLatch startDraining = new CountDownLatch(1);
        CountDownLatch drainingSent = new CountDownLatch(1);
        try (ScriptedServer drainingServer = ScriptedServer.withFullBacklog(SERVE_OK);
                ScriptedServer discovery = new ScriptedServer((socket, request) -> {
                    GatewayFixture.startWatchResponse(socket);
                    GatewayFixture.sendWatchLine(socket, GatewayFixture.endpointListJson(2, false, List.of()));
                    ScriptedServer.await(startDraining);
                    GatewayFixture.sendWatchLine(socket,
                            GatewayFixture.endpointListJson(3, false, List.of(GatewayFixture.endpointJson("s-0", drainingServer,
                            "draining", 0))));
                    drainingSent.countDown();
                });
                GatewayProcess gateway = GatewayProcess.start(folder, Map.of("LB_DISCOVERY", discovery.addressText()),
                        drainingServer)) {
            Client client = gateway.connectClient();
            client.write(submitRequest("waits", (int) (4 * STALL_MILLIS), "x"));
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.pause();
            drainingServer.startAccepting();
            await("its connection", () -> drainingServer.countGatewayConnections() >= 1);
            startDraining.countDown();
            assertTrue(drainingSent.await(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            assertTrue(client.read().firstLine().contains(" 503 "), gateway.log());
            assertEquals(List.of(), requestIds(drainingServer));
        }
    }
}
