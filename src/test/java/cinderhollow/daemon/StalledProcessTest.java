package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedHost.Message;
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
    private static final ScriptedHost.Script SERVES = ScriptedHost.reply("200 OK", "served");
    private static final long STALL_MILLIS = 700;
    private static final int CLIENTS = 12;
    private static final long AWAKE_MILLIS = 200;
    /** Tolerance of the rules on forwarded deadlines and on attempts after a client's disconnect. */
    private static final long DEADLINE_SLACK_MILLIS = 150;

    @TempDir
    private Path folder;

    private static List<String> ids(ScriptedHost server) {
        return server.requests.stream().map(request -> request.header("X-Request-ID")).toList();
    }

    private static long millisPassedOn(Message request) {
        String micros = request.header("X-Timeout");
        assertTrue(micros.endsWith("u"), micros);
        return TimeUnit.MICROSECONDS.toMillis(Long.parseLong(micros.substring(0, micros.length() - 1)));
    }

    /**
     * Asserts that a request is served; by then everything that the gateway sends for earlier requests has reached the
     * servers.
     */
    private static void assertServes(GatewayProcess gateway, String id) throws Exception {
        assertTrue(gateway.client().ask(status(id, LONG_MILLIS)).firstLine().contains(" 200 "), gateway.log());
    }

    @Test
    void aRequestIsNotForwardedWhoseClientLeftDuringTheStall() throws Exception {
        try (ScriptedHost server = new ScriptedHost(SERVES); GatewayProcess gateway = GatewayProcess.start(folder, server)) {
            assertServes(gateway, "first");
            Client kept = gateway.client();
            assertTrue(kept.ask(status("kept", LONG_MILLIS)).firstLine().contains(" 200 "));
            gateway.pause();
            Client fresh = gateway.client();
            for (Client client : List.of(kept, fresh)) {
                client.write(submit(client == kept ? "left-kept" : "left-new", LONG_MILLIS, "x"));
                client.socket.close();
            }
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            assertServes(gateway, "last");
            assertEquals(List.of("first", "kept", "last"), ids(server));
        }
    }

    /** The server's connection is established and the client disconnects in the same stall; the connection is reported first. */
    @Test
    void aRequestIsNotForwardedOnAConnectionThatCameUpDuringTheStallAfterItsClientLeft() throws Exception {
        try (ScriptedHost server = ScriptedHost.late(SERVES); GatewayProcess gateway = GatewayProcess.start(folder, server)) {
            Client leaving = gateway.client();
            leaving.write(submit("left", LONG_MILLIS, "x"));
            // The first connect is over by then, and the next follows a second later.
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.pause();
            server.comesUp();
            await("its connection", () -> server.dialled() >= 1);
            leaving.socket.close();
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            assertServes(gateway, "last");
            assertEquals(List.of("last"), ids(server));
        }
    }

    @Test
    void theDeadlinePassedOnIsWhatTheClientHasLeftAfterTheStall() throws Exception {
        long timeout = 1_500;
        try (ScriptedHost server = new ScriptedHost(SERVES); GatewayProcess gateway = GatewayProcess.start(folder, server)) {
            assertServes(gateway, "first");
            Client kept = gateway.client();
            assertTrue(kept.ask(status("kept", LONG_MILLIS)).firstLine().contains(" 200 "));
            gateway.pause();
            kept.write(status("waited", (int) timeout));
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            Message answer = kept.read();
            assertTrue(answer != null && (answer.firstLine().contains(" 200 ") || answer.firstLine().contains(" 503 ")), gateway.log());
            for (Message request : server.requests) {
                if (request.header("X-Request-ID").equals("waited")) {
                    long left = timeout - STALL_MILLIS;
                    assertTrue(millisPassedOn(request) <= left + DEADLINE_SLACK_MILLIS, request.header("X-Timeout"));
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
        int timeout = 1_500;
        try (ScriptedHost server = new ScriptedHost(SERVES); GatewayProcess gateway = GatewayProcess.start(folder, server)) {
            assertServes(gateway, "first");
            gateway.pause();
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            assertServes(gateway, "awake");
            // Until the loop has read all of its sockets again, what it reads may have arrived during the stall.
            TimeUnit.MILLISECONDS.sleep(AWAKE_MILLIS);
            assertTrue(gateway.client().ask(status("after", timeout)).firstLine().contains(" 200 "), gateway.log());
            Message after = server.requests.get(server.requests.size() - 1);
            assertEquals("after", after.header("X-Request-ID"));
            assertTrue(millisPassedOn(after) > timeout - DEADLINE_SLACK_MILLIS, after.header("X-Timeout"));
        }
    }

    /** The request waits for over a second for its server's connection; the server must not be given that time as well. */
    @Test
    void theDeadlinePassedOnIsWhatTheClientHasLeftWhenTheConnectionComesUpLate() throws Exception {
        try (ScriptedHost server = ScriptedHost.late(SERVES); GatewayProcess gateway = GatewayProcess.start(folder, server)) {
            Client client = gateway.client();
            long asked = System.nanoTime();
            client.write(submit("late", LONG_MILLIS, "x"));
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            server.comesUp();
            await("the request", () -> !server.requests.isEmpty());
            long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked);
            long passedOn = millisPassedOn(server.requests.get(0));
            assertTrue(passedOn <= LONG_MILLIS - STALL_MILLIS + DEADLINE_SLACK_MILLIS, passedOn + " ms after " + waited + " ms");
            assertTrue(client.read().firstLine().contains(" 200 "));
        }
    }

    /**
     * The first server rejects the request in the stall in which its client disconnects; the retry is due before that is
     * read.
     */
    @Test
    void aRetryDoesNotGoOutForAClientThatLeftDuringTheStall() throws Exception {
        CountDownLatch clientLeft = new CountDownLatch(1);
        ScriptedHost.Script turnsAway = (socket, request) -> {
            if (request.header("X-Request-ID").equals("last")) {
                SERVES.answer(socket, request);
                return;
            }
            ScriptedHost.await(clientLeft);
            ScriptedHost.write(socket, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
        };
        try (ScriptedHost one = new ScriptedHost(turnsAway); ScriptedHost other = new ScriptedHost(turnsAway);
                GatewayProcess gateway = GatewayProcess.start(folder, one, other)) {
            leaveInAStall(gateway, submit("left", LONG_MILLIS, "x"), clientLeft, one, other);
        }
    }

    /** The hedge of a request falls due in the stall in which its client disconnects. */
    @Test
    void aHedgeDoesNotGoOutForAClientThatLeftDuringTheStall() throws Exception {
        Path operator = Files.writeString(folder.resolve("operator.toml"), "[class.status.second_copy]\nafter = \"" + STALL_MILLIS / 2
                + "ms\"\nbudget = { share = 1.0 }\n");
        ScriptedHost.Script silentToTheFirst = (socket, request) -> {
            if (request.header("X-Request-ID").equals("last")) {
                SERVES.answer(socket, request);
            }
        };
        try (ScriptedHost one = new ScriptedHost(silentToTheFirst); ScriptedHost other = new ScriptedHost(silentToTheFirst);
                GatewayProcess gateway = GatewayProcess.start(folder, Map.of("LB_OPERATOR", operator.toString()), one, other)) {
            leaveInAStall(gateway, status("left", LONG_MILLIS), new CountDownLatch(1), one, other);
        }
    }

    /**
     * Sends a request, disconnects while the gateway is stopped after its first attempt, and asserts that no other server
     * gets it.
     */
    private void leaveInAStall(GatewayProcess gateway, String request, CountDownLatch left, ScriptedHost one, ScriptedHost other)
            throws Exception {
        Client client = gateway.client();
        client.write(request);
        await("the first attempt", () -> one.requests.size() + other.requests.size() == 1);
        gateway.pause();
        client.socket.close();
        left.countDown();
        TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
        gateway.resume();
        assertServes(gateway, "last");
        TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
        List<String> all = new ArrayList<>(ids(one));
        all.addAll(ids(other));
        assertEquals(1, all.stream().filter("left"::equals).count(), gateway.log());
    }

    /**
     * Discovery's notice of the drain and a request are both unread, and the request is reported first; the drain grace is over
     * by the end of the stall.
     */
    @Test
    void aRequestDoesNotGoToAServerThatWasDrainedDuringTheStall() throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        CountDownLatch told = new CountDownLatch(1);
        try (ScriptedHost drained = new ScriptedHost(SERVES); ScriptedHost stays = new ScriptedHost(SERVES);
                ScriptedHost discovery = new ScriptedHost((socket, request) -> {
                    GatewayFixture.startWatch(socket);
                    GatewayFixture.line(socket, GatewayFixture.list(2, false, List.of()));
                    ScriptedHost.await(drains);
                    GatewayFixture.line(socket, GatewayFixture.list(3, false, List.of(GatewayFixture.entry("s-0", drained,
                            "draining", 0))));
                    told.countDown();
                });
                GatewayProcess gateway = GatewayProcess.start(folder, Map.of("LB_DISCOVERY", discovery.addressText()), drained, stays)) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(gateway.client());
                assertTrue(clients.get(i).ask(status("before-" + i, LONG_MILLIS)).firstLine().contains(" 200 "));
            }
            assertTrue(!drained.requests.isEmpty(), "it serves as long as it is up");
            gateway.pause();
            for (Client client : clients) {
                client.write(status("after", LONG_MILLIS).replace("after", "after-" + clients.indexOf(client)));
            }
            assertEquals(CLIENTS, drained.requests.size() + stays.requests.size(), "what comes before the drain is no breach of it");
            drains.countDown();
            assertTrue(told.await(LONG_MILLIS, TimeUnit.MILLISECONDS));
            TimeUnit.MILLISECONDS.sleep(2 * STALL_MILLIS);
            gateway.resume();
            for (Client client : clients) {
                assertTrue(client.read().firstLine().contains(" 200 "), gateway.log());
            }
            assertEquals(List.of(), ids(drained).stream().filter(id -> id.startsWith("after")).toList(), gateway.log());
        }
    }

    /**
     * The server's connection is established in the stall and is reported before discovery's notice of the drain, which is
     * unread.
     */
    @Test
    void aRequestDoesNotGoOutOnAConnectionThatCameUpDuringTheStallToAServerThatWasDrained() throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        CountDownLatch told = new CountDownLatch(1);
        try (ScriptedHost drained = ScriptedHost.late(SERVES);
                ScriptedHost discovery = new ScriptedHost((socket, request) -> {
                    GatewayFixture.startWatch(socket);
                    GatewayFixture.line(socket, GatewayFixture.list(2, false, List.of()));
                    ScriptedHost.await(drains);
                    GatewayFixture.line(socket, GatewayFixture.list(3, false, List.of(GatewayFixture.entry("s-0", drained,
                            "draining", 0))));
                    told.countDown();
                });
                GatewayProcess gateway = GatewayProcess.start(folder, Map.of("LB_DISCOVERY", discovery.addressText()), drained)) {
            Client client = gateway.client();
            client.write(submit("waits", (int) (4 * STALL_MILLIS), "x"));
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.pause();
            drained.comesUp();
            await("its connection", () -> drained.dialled() >= 1);
            drains.countDown();
            assertTrue(told.await(LONG_MILLIS, TimeUnit.MILLISECONDS));
            TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
            gateway.resume();
            assertTrue(client.read().firstLine().contains(" 503 "), gateway.log());
            assertEquals(List.of(), ids(drained));
        }
    }
}
