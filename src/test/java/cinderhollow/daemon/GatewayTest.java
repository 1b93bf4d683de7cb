package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.endpointJson;
import static cinderhollow.daemon.GatewayFixture.endpointListJson;
import static cinderhollow.daemon.GatewayFixture.sendWatchLine;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.daemon.ScriptedServer.Script;
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
    private static final Script SERVE_OK = ScriptedServer.reply("200 OK", "fine");
    private static final Script NO_RESPONSE = (socket, request) -> { };

    @Test
    void passesRequestAndAnswerUnchangedOnOneConnection() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            Message first = client.exchange(submitRequest("r1", LONG_TIMEOUT_MILLIS, "12 MWh"));
            Message second = client.exchange(statusRequest("r2", LONG_TIMEOUT_MILLIS));
            assertTrue(first.firstLine().contains(" 200 ") && second.firstLine().contains(" 200 "));
            assertEquals("fine", first.body());
            Message forwarded = server.requests.get(0);
            assertEquals("POST /submit HTTP/1.1", forwarded.firstLine());
            assertEquals("r1", forwarded.header("X-Request-ID"));
            assertEquals("12 MWh", forwarded.body());
            assertTrue(forwarded.header("X-Timeout").endsWith("u"));
            assertEquals("GET /status/7?q=1 HTTP/1.1", server.requests.get(1).firstLine());
            assertEquals(1, server.connections.size(), "the kept connection is used again");
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
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            String line = f.connectClient().exchange(bad).firstLine();
            assertTrue(line.startsWith("HTTP/1.1 4"), line);
            assertEquals(0, server.requests.size(), "a malformed request goes to no host");
            assertTrue(f.connectClient().exchange(statusRequest("good", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
        }
    }

    @Test
    void rejectsAnIdThatIsOpenAndServesTheFirst() throws Exception {
        CompletableFuture<Socket> heldSocket = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((socket, request) -> heldSocket.complete(socket));
                GatewayFixture f = GatewayFixture.withServers(server)) {
            Client first = f.connectClient();
            first.write(submitRequest("same", LONG_TIMEOUT_MILLIS, "x"));
            Socket socket = heldSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(f.connectClient().exchange(submitRequest("same", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 409 "));
            SERVE_OK.answer(socket, null);
            assertTrue(first.read().firstLine().contains(" 200 "));
            assertEquals(1, server.requests.size());
        }
    }

    /** More pipelined requests than the gateway holds arrive in one write; each must be answered, in order. */
    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        Script echoId = (socket, request) ->
                ScriptedServer.reply("200 OK", request.header("X-Request-ID")).answer(socket, request);
        try (ScriptedServer server = new ScriptedServer(echoId); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < 40; i++) {
                pipelined.append(statusRequest("r" + i, LONG_TIMEOUT_MILLIS));
            }
            client.write(pipelined.toString());
            for (int i = 0; i < 40; i++) {
                assertEquals("r" + i, client.read().body());
            }
        }
    }

    @Test
    void neverResendsAnUnsafeRequestThatMayHaveRun() throws Exception {
        Script resets = (socket, request) -> ScriptedServer.reset(socket);
        try (ScriptedServer a = new ScriptedServer(resets); ScriptedServer b = new ScriptedServer(resets);
                GatewayFixture f = GatewayFixture.withServers(a, b)) {
            assertTrue(f.connectClient().exchange(submitRequest("r", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 502 "));
            assertEquals(1, a.requests.size() + b.requests.size());
        }
    }

    /** The first exchange leaves a kept connection, which the server then breaks during the second request. */
    @Test
    void neverReplaysOnAStaleKeptConnection() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            assertTrue(client.exchange(submitRequest("r1", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 200 "));
            server.setScript((socket, request) -> ScriptedServer.reset(socket));
            assertTrue(client.exchange(submitRequest("r2", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 502 "));
            assertEquals(2, server.requests.size());
            assertEquals(1, server.connections.size());
        }
    }

    @Test
    void usesAnotherServerWhenOneRefusesConnections() throws Exception {
        try (ScriptedServer stoppedServer = new ScriptedServer(SERVE_OK); ScriptedServer server = new ScriptedServer(SERVE_OK)) {
            try (GatewayFixture f = GatewayFixture.withServers(stoppedServer, server)) {
                stoppedServer.stop();
                for (int i = 0; i < 8; i++) {
                    assertTrue(f.connectClient().exchange(submitRequest("r" + i, LONG_TIMEOUT_MILLIS, "x")).firstLine()
                            .contains(" 200 "));
                }
            }
            assertEquals(8, server.requests.size());
        }
    }

    @Test
    void retriesElsewhereOnlyWhatAServerReportsAsNotProcessed() throws Exception {
        Script notProcessed = ScriptedServer.reply("503 Service Unavailable", "", "X-Not-Processed: 1");
        try (ScriptedServer a = new ScriptedServer(notProcessed); ScriptedServer b = new ScriptedServer(notProcessed);
                GatewayFixture f = GatewayFixture.withServers(a, b)) {
            Message refused = f.connectClient().exchange(submitRequest("r1", 2000, "x"));
            assertTrue(refused.firstLine().contains(" 503 "), refused.firstLine());
            assertEquals(1, a.requests.size());
            assertEquals(1, b.requests.size());
        }
        Script plain503 = ScriptedServer.reply("503 Service Unavailable", "");
        try (ScriptedServer a = new ScriptedServer(plain503); ScriptedServer b = new ScriptedServer(plain503);
                GatewayFixture f = GatewayFixture.withServers(a, b)) {
            Message failed = f.connectClient().exchange(submitRequest("r2", LONG_TIMEOUT_MILLIS, "x"));
            assertTrue(failed.firstLine().contains(" 502 "), failed.firstLine());
            assertEquals(1, a.requests.size() + b.requests.size());
        }
    }

    @Test
    void doesNotServeACloseDelimitedBodyWhoseConnectionIsReset() throws Exception {
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\n\r\nhalf of it");
            ScriptedServer.reset(socket);
        }); GatewayFixture f = GatewayFixture.withServers(server)) {
            assertTrue(f.connectClient().exchange(submitRequest("r", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 502 "));
        }
    }

    @Test
    void answersWithinTheClientsTimeAndClosesTheConnectionOfTheAttempt() throws Exception {
        try (ScriptedServer server = new ScriptedServer(NO_RESPONSE); GatewayFixture f = GatewayFixture.withServers(server)) {
            assertTrue(f.connectClient().exchange(submitRequest("r", 1500, "x")).firstLine().contains(" 502 "));
            assertEquals(1, server.requests.size());
            await("the end of the attempt", () -> server.connections.get(0).isClosed());
        }
    }

    @Test
    void cancelsTheAttemptOfAClientThatLeft() throws Exception {
        try (ScriptedServer server = new ScriptedServer(NO_RESPONSE); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.write(statusRequest("r", LONG_TIMEOUT_MILLIS));
            await("the attempt", () -> server.requests.size() == 1);
            client.socket.close();
            await("the end of the attempt", () -> server.connections.get(0).isClosed());
            server.setScript(SERVE_OK);
            assertTrue(f.connectClient().exchange(statusRequest("r", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "),
                    "its id is free again");
        }
    }

    @Test
    void closesAnIdleConnectionBeforeTheServerWould() throws Exception {
        ScriptedServer server = new ScriptedServer(SERVE_OK);
        try (server; GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                GatewayFixture.createIdleDiscovery(), TimeUnit.MILLISECONDS.toNanos(300), 1024)) {
            assertTrue(f.connectClient().exchange(statusRequest("r", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
            await("the gateway's close", () -> server.connections.get(0).isClosed());
        }
    }

    @Test
    void sendsNothingNewToADrainingServerAndFinishesWhatItHas() throws Exception {
        List<Socket> watchSockets = new CopyOnWriteArrayList<>();
        CompletableFuture<Socket> heldSocket = new CompletableFuture<>();
        ScriptedServer discovery = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            sendWatchLine(socket, endpointListJson(1, false, List.of()));
            watchSockets.add(socket);
        });
        try (ScriptedServer draining = new ScriptedServer((socket, request) -> heldSocket.complete(socket));
                ScriptedServer other = new ScriptedServer(SERVE_OK);
                GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", draining, "up", 0))),
                        discovery,
                        60_000_000_000L, 1024)) {
            Client first = f.connectClient();
            first.write(submitRequest("r1", LONG_TIMEOUT_MILLIS, "x"));
            Socket socket = heldSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            sendWatchLine(watchSockets.get(0), endpointListJson(2, false, List.of(endpointJson("s", draining, "draining", 0),
                    endpointJson("o", other, "up", 0), endpointJson("p", other, "up", 0))));
            for (int i = 0; other.requests.isEmpty(); i++) {
                // Requests are repeated until the gateway has received the new list, which is on its way.
                assertTrue(i < TIMEOUT_MILLIS);
                f.connectClient().exchange(statusRequest("s" + i, 200));
            }
            SERVE_OK.answer(socket, null);
            assertTrue(first.read().firstLine().contains(" 200 "));
            await("the close of the draining host's connection", () -> draining.connections.get(0).isClosed());
            for (int i = 0; i < 4; i++) {
                assertTrue(f.connectClient().exchange(submitRequest("u" + i, LONG_TIMEOUT_MILLIS, "x")).firstLine()
                        .contains(" 200 "));
            }
            assertEquals(1, draining.requests.size());
        }
    }

    @Test
    void failsWhatIsOpenAtAServerThatRestarted() throws Exception {
        List<Socket> watchSockets = new CopyOnWriteArrayList<>();
        ScriptedServer discovery = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            sendWatchLine(socket, endpointListJson(1, false, List.of()));
            watchSockets.add(socket);
        });
        try (ScriptedServer server = new ScriptedServer(NO_RESPONSE);
                GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                        discovery,
                        60_000_000_000L, 1024)) {
            Client client = f.connectClient();
            client.write(submitRequest("r", LONG_TIMEOUT_MILLIS, "x"));
            await("the attempt", () -> server.requests.size() == 1);
            long restartMillis = System.currentTimeMillis() + 1000;
            sendWatchLine(watchSockets.get(0),
                    endpointListJson(2, false, List.of(endpointJson("s", server, "up", restartMillis))));
            assertTrue(client.read().firstLine().contains(" 502 "));
        }
    }

    @Test
    void answersAllReceivedRequestsBeforeShutdownIsOver() throws Exception {
        CompletableFuture<Socket> heldSocket = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((socket, request) -> heldSocket.complete(socket));
                GatewayFixture f = GatewayFixture.withServers(server)) {
            Client idleClient = f.connectClient();
            Client openClient = f.connectClient();
            openClient.write(submitRequest("r", LONG_TIMEOUT_MILLIS, "x"));
            Socket socket = heldSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            assertNull(idleClient.read(), "an idle connection is closed");
            assertFalse(shutdownDone.isDone(), "a request is still held");
            SERVE_OK.answer(socket, null);
            Message answer = openClient.read();
            assertTrue(answer.firstLine().contains(" 200 "));
            assertEquals("close", answer.header("Connection"));
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Clients may have no other gateway, so their requests must still be served, on the same connection. */
    @Test
    void servesOnKeptConnectionsForATimeAfterShutdownWasRequested() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.exchange(statusRequest("before", LONG_TIMEOUT_MILLIS));
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            await("the end's begin", () -> f.get("/ready").firstLine().contains(" 503 "));
            Message answer = client.exchange(statusRequest("after", LONG_TIMEOUT_MILLIS));
            assertTrue(answer.firstLine().contains(" 200 "));
            assertNull(answer.header("Connection"), "the client may ask again");
            assertTrue(client.exchange(statusRequest("again", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
            assertNull(client.read(), "closed in the end");
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void makesRoomForNewClientsByClosingTheLongestIdle() throws Exception {
        ScriptedServer server = new ScriptedServer(SERVE_OK);
        // 64 descriptors are reserved for other uses; half of the remaining 16 are for clients.
        try (server; GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                GatewayFixture.createIdleDiscovery(), 60_000_000_000L, 80)) {
            Client oldest = f.connectClient();
            for (int i = 0; i < 12; i++) {
                assertTrue(f.connectClient().exchange(statusRequest("r" + i, LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
            }
            assertNull(oldest.read());
        }
    }

    @Test
    void resumesABrokenWatchFromItsLastIndex() throws Exception {
        List<String> watchRequests = new CopyOnWriteArrayList<>();
        ScriptedServer discovery = new ScriptedServer((socket, request) -> {
            watchRequests.add(request.firstLine());
            GatewayFixture.startWatchResponse(socket);
            sendWatchLine(socket, endpointListJson(40 + watchRequests.size(), false, List.of()));
            if (watchRequests.size() == 1) {
                socket.close();
            }
        });
        try (ScriptedServer server = new ScriptedServer(SERVE_OK);
                GatewayFixture f = new GatewayFixture(endpointListJson(40, true, List.of(endpointJson("s", server, "up", 0))),
                        discovery,
                        60_000_000_000L, 1024)) {
            await("the second watch", () -> watchRequests.size() == 2);
            assertTrue(watchRequests.get(0).contains("since=40"), watchRequests.get(0));
            assertTrue(watchRequests.get(1).contains("since=41"), watchRequests.get(1));
            assertNotNull(f.connectClient().exchange(statusRequest("r", LONG_TIMEOUT_MILLIS)));
        }
    }

    /**
     * Most servers fail one class and serve the other; requests of the failing class must go to the one server that serves
     * it.
     */
    @Test
    void aClassAvoidsTheServersThatFailIt() throws Exception {
        Script failsPosts = (socket, request) -> ScriptedServer.reply(request.firstLine().startsWith("POST")
                ? "500 Broken" : "200 OK", "x").answer(socket, request);
        try (ScriptedServer a = new ScriptedServer(failsPosts); ScriptedServer b = new ScriptedServer(failsPosts);
                ScriptedServer c = new ScriptedServer(failsPosts); ScriptedServer soundServer = new ScriptedServer(SERVE_OK);
                GatewayFixture f = GatewayFixture.withServers(a, b, c, soundServer)) {
            Client client = f.connectClient();
            int failed = 0;
            long begin = System.nanoTime();
            for (int i = 0; i < 200; i++) {
                assertTrue(client.exchange(statusRequest("s" + i, LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
                failed += client.exchange(submitRequest("p" + i, LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 502 ") ? 1 : 0;
            }
            // Some requests fail until the failures are detected, then one trial per second at each server.
            long maxFailed = 20 + 3 * TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - begin);
            assertTrue(failed <= maxFailed, failed + " of 200 failed");
        }
    }

    /** A request whose answer is lost must not wait for its time-out once the server has answered later requests. */
    @Test
    void aRequestWithALostAnswerIsRetriedElsewhere() throws Exception {
        List<Socket> watchSockets = new CopyOnWriteArrayList<>();
        ScriptedServer discovery = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            sendWatchLine(socket, endpointListJson(1, false, List.of()));
            watchSockets.add(socket);
        });
        Script losesOneAnswer = (socket, request) -> {
            if (!"lost".equals(request.header("X-Request-ID"))) {
                SERVE_OK.answer(socket, request);
            }
        };
        try (ScriptedServer server = new ScriptedServer(losesOneAnswer); ScriptedServer other = new ScriptedServer(SERVE_OK);
                GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                        discovery,
                        60_000_000_000L, 1024)) {
            Client client = f.connectClient();
            client.exchange(statusRequest("before", LONG_TIMEOUT_MILLIS));
            Client waitingClient = f.connectClient();
            waitingClient.write(statusRequest("lost", LONG_TIMEOUT_MILLIS));
            await("the attempt", () -> server.requests.size() == 2);
            client.exchange(statusRequest("after", LONG_TIMEOUT_MILLIS));
            assertEquals(3, server.requests.size(), "the host goes on answering");
            sendWatchLine(watchSockets.get(0), endpointListJson(2, false, List.of(endpointJson("o", other, "up", 0))));
            assertTrue(waitingClient.read().firstLine().contains(" 200 "));
            assertEquals("lost", other.requests.get(other.requests.size() - 1).header("X-Request-ID"));
        }
    }
}
