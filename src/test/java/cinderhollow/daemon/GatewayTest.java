package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.entry;
import static cinderhollow.daemon.GatewayFixture.line;
import static cinderhollow.daemon.GatewayFixture.list;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedHost.Message;
import cinderhollow.daemon.ScriptedHost.Script;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Behaviour of a gateway toward clients and servers, over loopback sockets. */
class GatewayTest {
    private static final Script SERVES = ScriptedHost.reply("200 OK", "fine");
    private static final Script SILENT = (socket, request) -> { };

    @Test
    void passesRequestAndAnswerUnchangedOnOneConnection() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            Message first = client.ask(submit("r1", LONG_MILLIS, "12 MWh"));
            Message second = client.ask(status("r2", LONG_MILLIS));
            assertTrue(first.firstLine().contains(" 200 ") && second.firstLine().contains(" 200 "));
            assertEquals("fine", first.body());
            Message sent = host.requests.get(0);
            assertEquals("POST /submit HTTP/1.1", sent.firstLine());
            assertEquals("r1", sent.header("X-Request-ID"));
            assertEquals("12 MWh", sent.body());
            assertTrue(sent.header("X-Timeout").endsWith("u"));
            assertEquals("GET /status/7?q=1 HTTP/1.1", host.requests.get(1).firstLine());
            assertEquals(1, host.connections.size(), "the kept connection is used again");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "POST /submit HTTP/1.1\r\nContent-Length: 0\r\nX-Timeout: 20000m\r\n\r\n",
        "GET /status HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: soon\r\n\r\n",
        "GET /status HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: -5m\r\n\r\n",
        "GET /status HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 99999999999999999999m\r\n\r\n",
        "GET /nonsense HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 20000m\r\n\r\n",
        "POST /submit HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 20000m\r\nContent-Length: 65537\r\n\r\n",
        "GET /status NOT-HTTP\r\n\r\n"})
    void answersMalformedInputWith4xxAndServesOthers(String bad) throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            String line = f.client().ask(bad).firstLine();
            assertTrue(line.startsWith("HTTP/1.1 4"), line);
            assertEquals(0, host.requests.size(), "a malformed request goes to no host");
            assertTrue(f.client().ask(status("good", LONG_MILLIS)).firstLine().contains(" 200 "));
        }
    }

    @Test
    void turnsAwayAnIdThatIsOpenAndServesTheFirst() throws Exception {
        CompletableFuture<Socket> asked = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> asked.complete(socket));
                GatewayFixture f = GatewayFixture.knowing(host)) {
            Client first = f.client();
            first.write(submit("same", LONG_MILLIS, "x"));
            Socket socket = asked.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(f.client().ask(submit("same", LONG_MILLIS, "x")).firstLine().contains(" 409 "));
            SERVES.answer(socket, null);
            assertTrue(first.read().firstLine().contains(" 200 "));
            assertEquals(1, host.requests.size());
        }
    }

    /** More pipelined requests than the gateway holds arrive in one write; each must be answered, in order. */
    @Test
    void answersRequestsThatWereSentAheadInTheirOrder() throws Exception {
        Script echoes = (socket, request) ->
                ScriptedHost.reply("200 OK", request.header("X-Request-ID")).answer(socket, request);
        try (ScriptedHost host = new ScriptedHost(echoes); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            StringBuilder ahead = new StringBuilder();
            for (int i = 0; i < 40; i++) {
                ahead.append(status("r" + i, LONG_MILLIS));
            }
            client.write(ahead.toString());
            for (int i = 0; i < 40; i++) {
                assertEquals("r" + i, client.read().body());
            }
        }
    }

    @Test
    void neverResendsAnUnsafeRequestThatMayHaveRun() throws Exception {
        Script resets = (socket, request) -> ScriptedHost.reset(socket);
        try (ScriptedHost a = new ScriptedHost(resets); ScriptedHost b = new ScriptedHost(resets);
                GatewayFixture f = GatewayFixture.knowing(a, b)) {
            assertTrue(f.client().ask(submit("r", LONG_MILLIS, "x")).firstLine().contains(" 502 "));
            assertEquals(1, a.requests.size() + b.requests.size());
        }
    }

    /** The first exchange leaves a kept connection, which the server then breaks during the second request. */
    @Test
    void neverReplaysOnAStaleKeptConnection() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            assertTrue(client.ask(submit("r1", LONG_MILLIS, "x")).firstLine().contains(" 200 "));
            host.script((socket, request) -> ScriptedHost.reset(socket));
            assertTrue(client.ask(submit("r2", LONG_MILLIS, "x")).firstLine().contains(" 502 "));
            assertEquals(2, host.requests.size());
            assertEquals(1, host.connections.size());
        }
    }

    @Test
    void leavesAHostThatRefusesConnectionsForAnother() throws Exception {
        try (ScriptedHost dead = new ScriptedHost(SERVES); ScriptedHost host = new ScriptedHost(SERVES)) {
            try (GatewayFixture f = GatewayFixture.knowing(dead, host)) {
                dead.stop();
                for (int i = 0; i < 8; i++) {
                    assertTrue(f.client().ask(submit("r" + i, LONG_MILLIS, "x")).firstLine().contains(" 200 "));
                }
            }
            assertEquals(8, host.requests.size());
        }
    }

    @Test
    void sendsElsewhereOnlyWhatAHostSaysItNeverProcessed() throws Exception {
        Script full = ScriptedHost.reply("503 Service Unavailable", "", "X-Not-Processed: 1");
        try (ScriptedHost a = new ScriptedHost(full); ScriptedHost b = new ScriptedHost(full);
                GatewayFixture f = GatewayFixture.knowing(a, b)) {
            Message refused = f.client().ask(submit("r1", 2000, "x"));
            assertTrue(refused.firstLine().contains(" 503 "), refused.firstLine());
            assertEquals(1, a.requests.size());
            assertEquals(1, b.requests.size());
        }
        Script bare = ScriptedHost.reply("503 Service Unavailable", "");
        try (ScriptedHost a = new ScriptedHost(bare); ScriptedHost b = new ScriptedHost(bare);
                GatewayFixture f = GatewayFixture.knowing(a, b)) {
            Message failed = f.client().ask(submit("r2", LONG_MILLIS, "x"));
            assertTrue(failed.firstLine().contains(" 502 "), failed.firstLine());
            assertEquals(1, a.requests.size() + b.requests.size());
        }
    }

    @Test
    void doesNotServeABodyWhoseConnectionBreaksWhereItsEndWouldBeTheBodys() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\n\r\nhalf of it");
            ScriptedHost.reset(socket);
        }); GatewayFixture f = GatewayFixture.knowing(host)) {
            assertTrue(f.client().ask(submit("r", LONG_MILLIS, "x")).firstLine().contains(" 502 "));
        }
    }

    @Test
    void answersWithinTheClientsTimeAndClosesTheAttempt() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SILENT); GatewayFixture f = GatewayFixture.knowing(host)) {
            assertTrue(f.client().ask(submit("r", 1500, "x")).firstLine().contains(" 502 "));
            assertEquals(1, host.requests.size());
            await("the end of the attempt", () -> host.connections.get(0).isClosed());
        }
    }

    @Test
    void callsOffTheAttemptOfAClientThatLeft() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SILENT); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.write(status("r", LONG_MILLIS));
            await("the attempt", () -> host.requests.size() == 1);
            client.socket.close();
            await("the end of the attempt", () -> host.connections.get(0).isClosed());
            host.script(SERVES);
            assertTrue(f.client().ask(status("r", LONG_MILLIS)).firstLine().contains(" 200 "), "its id is free again");
        }
    }

    @Test
    void retiresAnIdleConnectionBeforeTheHostWould() throws Exception {
        ScriptedHost host = new ScriptedHost(SERVES);
        try (host; GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", host, "up", 0))),
                GatewayFixture.quietDiscovery(), TimeUnit.MILLISECONDS.toNanos(300), 1024)) {
            assertTrue(f.client().ask(status("r", LONG_MILLIS)).firstLine().contains(" 200 "));
            await("the gateway's close", () -> host.connections.get(0).isClosed());
        }
    }

    @Test
    void sendsNothingNewToADrainingHostAndFinishesWhatItHas() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        CompletableFuture<Socket> held = new CompletableFuture<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            line(socket, list(1, false, List.of()));
            watches.add(socket);
        });
        try (ScriptedHost draining = new ScriptedHost((socket, request) -> held.complete(socket));
                ScriptedHost other = new ScriptedHost(SERVES);
                GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", draining, "up", 0))), discovery,
                        60_000_000_000L, 1024)) {
            Client first = f.client();
            first.write(submit("r1", LONG_MILLIS, "x"));
            Socket socket = held.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            line(watches.get(0), list(2, false, List.of(entry("s", draining, "draining", 0),
                    entry("o", other, "up", 0), entry("p", other, "up", 0))));
            for (int i = 0; other.requests.isEmpty(); i++) {
                // Requests are repeated until the gateway has received the new list, which is on its way.
                assertTrue(i < PATIENCE_MILLIS);
                f.client().ask(status("s" + i, 200));
            }
            SERVES.answer(socket, null);
            assertTrue(first.read().firstLine().contains(" 200 "));
            await("the close of the draining host's connection", () -> draining.connections.get(0).isClosed());
            for (int i = 0; i < 4; i++) {
                assertTrue(f.client().ask(submit("u" + i, LONG_MILLIS, "x")).firstLine().contains(" 200 "));
            }
            assertEquals(1, draining.requests.size());
        }
    }

    @Test
    void breaksWhatIsOpenAtAProcessThatStartedAnew() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            line(socket, list(1, false, List.of()));
            watches.add(socket);
        });
        try (ScriptedHost host = new ScriptedHost(SILENT);
                GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", host, "up", 0))), discovery,
                        60_000_000_000L, 1024)) {
            Client client = f.client();
            client.write(submit("r", LONG_MILLIS, "x"));
            await("the attempt", () -> host.requests.size() == 1);
            long later = System.currentTimeMillis() + 1000;
            line(watches.get(0), list(2, false, List.of(entry("s", host, "up", later))));
            assertTrue(client.read().firstLine().contains(" 502 "));
        }
    }

    @Test
    void answersAllThatItTookBeforeItEnds() throws Exception {
        CompletableFuture<Socket> held = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> held.complete(socket));
                GatewayFixture f = GatewayFixture.knowing(host)) {
            Client idle = f.client();
            Client open = f.client();
            open.write(submit("r", LONG_MILLIS, "x"));
            Socket socket = held.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            CompletableFuture<Void> ended = f.gateway.shutDown();
            assertNull(idle.read(), "an idle connection is closed");
            assertFalse(ended.isDone(), "a request is still held");
            SERVES.answer(socket, null);
            Message answer = open.read();
            assertTrue(answer.firstLine().contains(" 200 "));
            assertEquals("close", answer.header("Connection"));
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Clients may have no other gateway, so their requests must still be served, on the same connection. */
    @Test
    void servesOnKeptConnectionsForATimeAfterItWasAskedToEnd() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.ask(status("before", LONG_MILLIS));
            CompletableFuture<Void> ended = f.gateway.shutDown();
            await("the end's begin", () -> f.get("/ready").firstLine().contains(" 503 "));
            Message answer = client.ask(status("after", LONG_MILLIS));
            assertTrue(answer.firstLine().contains(" 200 "));
            assertNull(answer.header("Connection"), "the client may ask again");
            assertTrue(client.ask(status("again", LONG_MILLIS)).firstLine().contains(" 200 "));
            assertNull(client.read(), "closed in the end");
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void makesRoomForNewClientsByClosingTheLongestIdle() throws Exception {
        ScriptedHost host = new ScriptedHost(SERVES);
        // 64 descriptors are reserved for other uses; half of the remaining 16 are for clients.
        try (host; GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", host, "up", 0))),
                GatewayFixture.quietDiscovery(), 60_000_000_000L, 80)) {
            Client oldest = f.client();
            for (int i = 0; i < 12; i++) {
                assertTrue(f.client().ask(status("r" + i, LONG_MILLIS)).firstLine().contains(" 200 "));
            }
            assertNull(oldest.read());
        }
    }

    @Test
    void asksAgainAfterABrokenWatchFromWhereItWas() throws Exception {
        List<String> asked = new CopyOnWriteArrayList<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            asked.add(request.firstLine());
            GatewayFixture.startWatch(socket);
            line(socket, list(40 + asked.size(), false, List.of()));
            if (asked.size() == 1) {
                socket.close();
            }
        });
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = new GatewayFixture(list(40, true, List.of(entry("s", host, "up", 0))), discovery,
                        60_000_000_000L, 1024)) {
            await("the second watch", () -> asked.size() == 2);
            assertTrue(asked.get(0).contains("since=40"), asked.get(0));
            assertTrue(asked.get(1).contains("since=41"), asked.get(1));
            assertNotNull(f.client().ask(status("r", LONG_MILLIS)));
        }
    }

    /**
     * Most servers fail one class and serve the other; requests of the failing class must go to the one server that serves
     * it.
     */
    @Test
    void aClassGoesRoundTheHostsThatFailIt() throws Exception {
        Script failsPosts = (socket, request) -> ScriptedHost.reply(request.firstLine().startsWith("POST")
                ? "500 Broken" : "200 OK", "x").answer(socket, request);
        try (ScriptedHost a = new ScriptedHost(failsPosts); ScriptedHost b = new ScriptedHost(failsPosts);
                ScriptedHost c = new ScriptedHost(failsPosts); ScriptedHost sound = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.knowing(a, b, c, sound)) {
            Client client = f.client();
            int failed = 0;
            long begin = System.nanoTime();
            for (int i = 0; i < 200; i++) {
                assertTrue(client.ask(status("s" + i, LONG_MILLIS)).firstLine().contains(" 200 "));
                failed += client.ask(submit("p" + i, LONG_MILLIS, "x")).firstLine().contains(" 502 ") ? 1 : 0;
            }
            // Some requests fail until the failures are detected, then one trial per second at each server.
            long most = 20 + 3 * TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - begin);
            assertTrue(failed <= most, failed + " of 200 failed");
        }
    }

    /** A request whose answer is lost must not wait for its time-out once the server has answered later requests. */
    @Test
    void anOvertakenRequestIsTriedElsewhere() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            line(socket, list(1, false, List.of()));
            watches.add(socket);
        });
        Script losesOne = (socket, request) -> {
            if (!"lost".equals(request.header("X-Request-ID"))) {
                SERVES.answer(socket, request);
            }
        };
        try (ScriptedHost host = new ScriptedHost(losesOne); ScriptedHost other = new ScriptedHost(SERVES);
                GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", host, "up", 0))), discovery,
                        60_000_000_000L, 1024)) {
            Client client = f.client();
            client.ask(status("before", LONG_MILLIS));
            Client waits = f.client();
            waits.write(status("lost", LONG_MILLIS));
            await("the attempt", () -> host.requests.size() == 2);
            client.ask(status("after", LONG_MILLIS));
            assertEquals(3, host.requests.size(), "the host goes on answering");
            line(watches.get(0), list(2, false, List.of(entry("o", other, "up", 0))));
            assertTrue(waits.read().firstLine().contains(" 200 "));
            assertEquals("lost", other.requests.get(other.requests.size() - 1).header("X-Request-ID"));
        }
    }
}
