package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.RequestCounters.Counts;
import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.ops.GatewayStats;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Standby and return to active: connections of clients are closed and accepted again; and the counts that operators read. */
class StandbyTest {
    private static GatewayStats readStats(GatewayFixture f) throws Exception {
        return f.gateway.stats().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void setStandby(GatewayFixture f, boolean enabled) throws Exception {
        f.gateway.setStandby(enabled).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    void standbyClosesClientConnectionsAndActiveAcceptsThemAgain() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
                GatewayFixture f = GatewayFixture.withOpsSocket(server)) {
            Client busyClient = f.connectClient();
            Client idleClient = f.connectClient();
            Client silentClient = f.connectClient();
            busyClient.exchange(statusRequest("a1", LONG_TIMEOUT_MILLIS));
            idleClient.exchange(statusRequest("a2", LONG_TIMEOUT_MILLIS));
            setStandby(f, true);
            assertTrue(f.get("/ready").firstLine().contains(" 503 "), "/ready answers 503 at once");
            Message last = busyClient.exchange(statusRequest("a3", LONG_TIMEOUT_MILLIS));
            assertEquals("fine", last.body(), "requests are still served");
            assertEquals("close", last.header("Connection"));
            assertNull(busyClient.read());
            assertNull(idleClient.read(), "closed while idle");
            assertNull(silentClient.read(), "closed without having sent a request");
            assertEquals("fine", f.connectClient().exchange(statusRequest("a4", LONG_TIMEOUT_MILLIS)).body(),
                    "a new connection is still served");
            setStandby(f, true);
            setStandby(f, false);
            assertTrue(f.get("/ready").firstLine().contains(" 200 "));
            Client returningClient = f.connectClient();
            returningClient.exchange(statusRequest("a5", LONG_TIMEOUT_MILLIS));
            assertEquals("fine", returningClient.exchange(statusRequest("a6", LONG_TIMEOUT_MILLIS)).body(),
                    "connections are kept again");
            assertEquals(1, server.connections.size(), "and so was the one to the host");
        }
    }

    /** Pipelined requests are answered; if an earlier answer closed the connection, they would be lost. */
    @Test
    void standbyAnswersPipelinedRequestsBeforeItClosesTheConnection() throws Exception {
        CompletableFuture<Socket> heldSocket = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            if (!heldSocket.complete(socket)) {
                ScriptedServer.reply("200 OK", "fine").answer(socket, request);
            }
        }); GatewayFixture f = GatewayFixture.withOpsSocket(server)) {
            Client client = f.connectClient();
            client.write(statusRequest("p1", LONG_TIMEOUT_MILLIS) + statusRequest("p2", LONG_TIMEOUT_MILLIS)
                    + statusRequest("p3", LONG_TIMEOUT_MILLIS));
            Socket serverSocket = heldSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            await("all three", () -> countOpenRequests(f) == 3);
            setStandby(f, true);
            ScriptedServer.reply("200 OK", "first").answer(serverSocket, null);
            assertEquals("first", client.read().body());
            assertEquals("fine", client.read().body());
            Message last = client.read();
            assertEquals("fine", last.body());
            assertEquals("close", last.header("Connection"));
        }
    }

    /** Standby and active before discovery has sent its first list, and after shutdown has begun. */
    @Test
    void standbyLeavesAGatewayAbleToServeAndDuringShutdownDoesNotReopenIt() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
                GatewayFixture f = GatewayFixture.withOpsSocket(server)) {
            setStandby(f, true);
            assertEquals(true, f.gateway.isServing().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                    "it can serve, and is kept empty");
            Client lateClient = f.connectClient();
            assertEquals("close", lateClient.exchange(statusRequest("s1", LONG_TIMEOUT_MILLIS)).header("Connection"),
                    "a later connection is served");
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            setStandby(f, false);
            assertTrue(f.get("/ready").firstLine().contains(" 503 "), "active does not cancel a shutdown");
            assertEquals(false, f.gateway.isServing().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertEquals(1, readStats(f).countsByClass().get("status").fulfilled(), "counts are readable to the end");
        }
    }

    private static long countOpenRequests(GatewayFixture f) {
        try {
            return readStats(f).openRequests();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** Each ended request is counted in exactly one column, whoever ended it; an open request is counted in none. */
    @Test
    void statsCountEachEndOnceAndByClass() throws Exception {
        CompletableFuture<Socket> heldSocket = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            String requestId = request.header("X-Request-ID");
            if (requestId.startsWith("hold")) {
                heldSocket.complete(socket);
            } else {
                ScriptedServer.reply(requestId.startsWith("err") ? "500 Error" : "200 OK", "x").answer(socket, request);
            }
        }); GatewayFixture f = GatewayFixture.withOpsSocket(server)) {
            assertEquals(Map.of("status", new Counts(0, 0, 0, 0), "submit", new Counts(0, 0, 0, 0)),
                    readStats(f).countsByClass());
            Client client = f.connectClient();
            client.exchange(statusRequest("ok1", LONG_TIMEOUT_MILLIS));
            client.exchange(statusRequest("ok2", LONG_TIMEOUT_MILLIS));
            client.exchange(submitRequest("err1", LONG_TIMEOUT_MILLIS, "body"));
            f.connectClient().exchange("POST /submit HTTP/1.1\r\nX-Timeout: 5m\r\nContent-Length: 0\r\n\r\n");
            Client waitingClient = f.connectClient();
            waitingClient.write(submitRequest("hold1", LONG_TIMEOUT_MILLIS, "body"));
            Socket serverSocket = heldSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            // The server may have received the last byte before the gateway's loop is notified that its write is complete.
            await("the write's end", () -> classCounts(f, "submit").relayed() == 2);
            assertEquals(new Counts(2, 0, 0, 2), classCounts(f, "status"));
            assertEquals(new Counts(0, 0, 2, 2), classCounts(f, "submit"), "an error, and one without an id");
            GatewayStats stats = readStats(f);
            assertEquals(1, stats.openRequests());
            assertEquals(1, stats.endpoints());
            assertEquals(0, stats.outOfRotation());
            ScriptedServer.reply("200 OK", "late").answer(serverSocket, null);
            waitingClient.read();
            assertEquals(new Counts(1, 0, 2, 2), classCounts(f, "submit"));
            assertEquals(0, readStats(f).openRequests());
        }
    }

    private static Counts classCounts(GatewayFixture f, String requestClass) {
        try {
            return readStats(f).countsByClass().get(requestClass);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
