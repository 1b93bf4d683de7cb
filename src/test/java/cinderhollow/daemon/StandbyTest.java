package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.RequestCounters.Counts;
import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedHost.Message;
import cinderhollow.ops.GatewayStats;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Standby and return to active: connections of clients are closed and accepted again; and the counts that operators read. */
class StandbyTest {
    private static GatewayStats standing(GatewayFixture f) throws Exception {
        return f.gateway.stats().get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void standby(GatewayFixture f, boolean empty) throws Exception {
        f.gateway.setStandby(empty).get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    void standbySendsClientsAwayAndActiveTakesThemAgain() throws Exception {
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture f = GatewayFixture.asked(host)) {
            Client busy = f.client();
            Client idle = f.client();
            Client silent = f.client();
            busy.ask(status("a1", LONG_MILLIS));
            idle.ask(status("a2", LONG_MILLIS));
            standby(f, true);
            assertTrue(f.get("/ready").firstLine().contains(" 503 "), "/ready answers 503 at once");
            Message last = busy.ask(status("a3", LONG_MILLIS));
            assertEquals("fine", last.body(), "requests are still served");
            assertEquals("close", last.header("Connection"));
            assertNull(busy.read());
            assertNull(idle.read(), "closed while idle");
            assertNull(silent.read(), "closed without having sent a request");
            assertEquals("fine", f.client().ask(status("a4", LONG_MILLIS)).body(), "a new connection is still served");
            standby(f, true);
            standby(f, false);
            assertTrue(f.get("/ready").firstLine().contains(" 200 "));
            Client back = f.client();
            back.ask(status("a5", LONG_MILLIS));
            assertEquals("fine", back.ask(status("a6", LONG_MILLIS)).body(), "connections are kept again");
            assertEquals(1, host.connections.size(), "and so was the one to the host");
        }
    }

    /** Pipelined requests are answered; if an earlier answer closed the connection, they would be lost. */
    @Test
    void standbyAnswersWhatWasSentAheadBeforeItEndsTheConnection() throws Exception {
        CompletableFuture<Socket> held = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            if (!held.complete(socket)) {
                ScriptedHost.reply("200 OK", "fine").answer(socket, request);
            }
        }); GatewayFixture f = GatewayFixture.asked(host)) {
            Client client = f.client();
            client.write(status("p1", LONG_MILLIS) + status("p2", LONG_MILLIS) + status("p3", LONG_MILLIS));
            Socket asked = held.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            await("all three", () -> open(f) == 3);
            standby(f, true);
            ScriptedHost.reply("200 OK", "first").answer(asked, null);
            assertEquals("first", client.read().body());
            assertEquals("fine", client.read().body());
            Message last = client.read();
            assertEquals("fine", last.body());
            assertEquals("close", last.header("Connection"));
        }
    }

    /** Standby and active before discovery has sent its first list, and after shutdown has begun. */
    @Test
    void standbyAtTheStartAndDuringTheEndIsNoWayBackIn() throws Exception {
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture f = GatewayFixture.asked(host)) {
            standby(f, true);
            assertEquals(true, f.gateway.isServing().get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), "it can serve, and is kept empty");
            Client late = f.client();
            assertEquals("close", late.ask(status("s1", LONG_MILLIS)).header("Connection"), "a later connection is served");
            CompletableFuture<Void> ended = f.gateway.shutDown();
            standby(f, false);
            assertTrue(f.get("/ready").firstLine().contains(" 503 "), "active does not cancel a shutdown");
            assertEquals(false, f.gateway.isServing().get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            assertEquals(1, standing(f).countsByClass().get("status").fulfilled(), "counts are readable to the end");
        }
    }

    private static long open(GatewayFixture f) {
        try {
            return standing(f).openRequests();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** Each ended request is counted in exactly one column, whoever ended it; an open request is counted in none. */
    @Test
    void figuresCountEachEndOnceAndByClass() throws Exception {
        CompletableFuture<Socket> held = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            String what = request.header("X-Request-ID");
            if (what.startsWith("hold")) {
                held.complete(socket);
            } else {
                ScriptedHost.reply(what.startsWith("err") ? "500 Error" : "200 OK", "x").answer(socket, request);
            }
        }); GatewayFixture f = GatewayFixture.asked(host)) {
            assertEquals(Map.of("status", new Counts(0, 0, 0, 0), "submit", new Counts(0, 0, 0, 0)),
                    standing(f).countsByClass());
            Client client = f.client();
            client.ask(status("ok1", LONG_MILLIS));
            client.ask(status("ok2", LONG_MILLIS));
            client.ask(submit("err1", LONG_MILLIS, "body"));
            f.client().ask("POST /submit HTTP/1.1\r\nX-Timeout: 5m\r\nContent-Length: 0\r\n\r\n");
            Client waits = f.client();
            waits.write(submit("hold1", LONG_MILLIS, "body"));
            Socket asked = held.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            // The server may have received the last byte before the gateway's loop is notified that its write is complete.
            await("the write's end", () -> counts(f, "submit").relayed() == 2);
            assertEquals(new Counts(2, 0, 0, 2), counts(f, "status"));
            assertEquals(new Counts(0, 0, 2, 2), counts(f, "submit"), "an error, and one without an id");
            GatewayStats now = standing(f);
            assertEquals(1, now.openRequests());
            assertEquals(1, now.endpoints());
            assertEquals(0, now.outOfRotation());
            ScriptedHost.reply("200 OK", "late").answer(asked, null);
            waits.read();
            assertEquals(new Counts(1, 0, 2, 2), counts(f, "submit"));
            assertEquals(0, standing(f).openRequests());
        }
    }

    private static Counts counts(GatewayFixture f, String requestClass) {
        try {
            return standing(f).countsByClass().get(requestClass);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
