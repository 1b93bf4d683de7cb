package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.endpointJson;
import static cinderhollow.daemon.GatewayFixture.endpointListJson;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Requests that are received or unread at the moment when the process ends, a client's idle time is over or the listener
 * closes.
 */
class ShutdownRaceTest {
    private static final ScriptedServer.Script SERVE_OK = ScriptedServer.reply("200 OK", "served");
    /** Longer than the time for which a gateway that shuts down still accepts requests. */
    private static final long PAST_SHUTDOWN_ACCEPT_MILLIS = 1_300;

    private static void waitUnread(long millis) throws Exception {
        long begin = System.nanoTime();
        await("it has lain unread", () -> System.nanoTime() - begin > TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /**
     * The timer that closes the listener expires before the loop has read its sockets again. A request on a kept connection, the
     * first request of a new connection, and one on a connection in the backlog must still be accepted and answered.
     */
    @Test
    void whatIsUnreadWhenTheListenerClosesIsAnswered() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client keptClient = f.connectClient();
            keptClient.exchange(statusRequest("before", LONG_TIMEOUT_MILLIS));
            Client silentClient = f.connectClient();
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            await("the end's begin", () -> f.get("/ready").firstLine().contains(" 503 "));
            Runnable resume = f.stallLoopDuringRead();
            Client backlogClient = f.connectClient();
            keptClient.write(statusRequest("kept", LONG_TIMEOUT_MILLIS));
            silentClient.write(statusRequest("new", LONG_TIMEOUT_MILLIS));
            backlogClient.write(submitRequest("backlog", LONG_TIMEOUT_MILLIS, "x"));
            waitUnread(PAST_SHUTDOWN_ACCEPT_MILLIS);
            resume.run();
            for (Client client : List.of(keptClient, silentClient, backlogClient)) {
                assertServed(client.read());
                assertNull(client.read(), "closed in the end");
            }
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** The loop stalls for longer than a client may be silent, while the client's request is already in the socket. */
    @Test
    void aClientIsNotTimedOutForAStallOfTheLoop() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            f.get("/ready");
            Runnable resume = f.stallLoopDuringRead();
            client.write(statusRequest("r", LONG_TIMEOUT_MILLIS));
            waitUnread(2_500);
            resume.run();
            assertServed(client.read());
        }
    }

    /**
     * All connections are in use when the request of the client that has been silent longest is in the socket but not read
     * yet.
     */
    @Test
    void aRequestThatLiesUnreadIsNotCutOffToMakeRoom() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK);
                // 64 descriptors are reserved for other uses; half of the remaining 16 are for clients.
                GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                        GatewayFixture.createIdleDiscovery(), 60_000_000_000L, 80)) {
            Client longestIdleClient = f.connectClient();
            f.get("/ready");
            waitUnread(100);
            Runnable resume = f.stallLoopDuringRead();
            for (int i = 0; i < 8; i++) {
                f.connectClient();
            }
            longestIdleClient.write(statusRequest("r", LONG_TIMEOUT_MILLIS));
            resume.run();
            assertServed(longestIdleClient.read());
        }
    }

    /**
     * All connections are in use by clients with open requests, so a further client waits in the backlog. It sends a request,
     * disconnects, and is accepted only afterwards, so that its request and its disconnect are read together.
     */
    @Test
    void aRequestIsNotForwardedWhoseClientLeftWhileItWaitedToBeAccepted() throws Exception {
        CountDownLatch letServerAnswer = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            ScriptedServer.await(letServerAnswer);
            SERVE_OK.answer(socket, request);
        });
                // 64 descriptors are reserved for other uses; half of the remaining 16 are for clients, and one more is accepted.
                GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                        GatewayFixture.createIdleDiscovery(), 60_000_000_000L, 80)) {
            List<Client> openClients = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                openClients.add(f.connectClient());
                openClients.get(i).write(statusRequest("open-" + i, LONG_TIMEOUT_MILLIS));
            }
            await("all places taken", () -> f.countOpenRequests() == 9);
            Client backlogClient = f.connectClient();
            backlogClient.write(statusRequest("left", LONG_TIMEOUT_MILLIS));
            backlogClient.socket.close();
            letServerAnswer.countDown();
            for (Client client : openClients) {
                assertServed(client.read());
            }
            assertServed(f.connectClient().exchange(statusRequest("last", LONG_TIMEOUT_MILLIS)));
            assertTrue(server.requests.stream().noneMatch(request -> request.header("X-Request-ID").equals("left")));
        }
    }

    /** The answer is in the socket, and the time-outs of the attempt and of the request expire before it is read. */
    @Test
    void anAnswerThatLiesUnreadWhenItsTimeIsOverIsServed() throws Exception {
        CountDownLatch letServerAnswer = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            ScriptedServer.await(letServerAnswer);
            SERVE_OK.answer(socket, request);
        }); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.write(submitRequest("r", 2_000, "x"));
            await("the request", () -> server.requests.size() == 1);
            Runnable resume = f.stallLoopDuringRead();
            letServerAnswer.countDown();
            waitUnread(2_300);
            resume.run();
            assertServed(client.read());
        }
    }

    private static void assertServed(Message answer) {
        assertNotNull(answer, "closed without an answer");
        assertTrue(answer.firstLine().contains(" 200 "), answer.firstLine());
    }

    /** The answers on a connection that stays open exceed the system's buffers, and the client reads them late. */
    @Test
    void unreadResponsesSurviveTheClosingOfIdleConnections() throws Exception {
        int requestCount = 120;
        String body = "y".repeat(60_000);
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", body));
                GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            for (int i = 0; i < requestCount; i++) {
                client.write(statusRequest("r" + i, LONG_TIMEOUT_MILLIS));
            }
            await("all are answered", () -> server.requests.size() == requestCount && f.countOpenRequests() == 0);
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            await("the listener's end", () -> !acceptsConnections(f));
            for (int i = 0; i < requestCount; i++) {
                Message answer = client.read();
                assertServed(answer);
                assertEquals(body.length(), answer.body().length());
            }
            assertNull(client.read(), "closed in the end");
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** A malformed request comes behind more answers than the system's buffers hold, and the client reads all of them late. */
    @Test
    void aMalformedRequestIsAnsweredAfterAllEarlierResponses() throws Exception {
        int requestCount = 120;
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "y".repeat(60_000)));
                GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            for (int i = 0; i < requestCount; i++) {
                client.write(statusRequest("r" + i, LONG_TIMEOUT_MILLIS));
            }
            client.write("no request at all\r\n\r\n");
            await("all are answered", () -> server.requests.size() == requestCount && f.countOpenRequests() == 0);
            waitUnread(500);
            for (int i = 0; i < requestCount; i++) {
                assertServed(client.read());
            }
            assertTrue(client.read().firstLine().contains(" 400 "));
            assertNull(client.read(), "closed in the end");
        }
    }

    private static boolean acceptsConnections(GatewayFixture f) {
        try {
            f.connectClient().socket.close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * The request's deadline lies beyond the time that the platform leaves between SIGTERM and the kill, which is at most
     * 3.7 s.
     */
    @Test
    void aRequestWithADeadlineBeyondTheShutdownIsAnsweredBeforeTheKill() throws Exception {
        try (ScriptedServer server = new ScriptedServer((socket, request) -> { }); GatewayFixture f =
                GatewayFixture.withServers(server)) {
            Client before = f.connectClient();
            before.write(submitRequest("before", LONG_TIMEOUT_MILLIS, "x"));
            await("the request", () -> server.requests.size() == 1);
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            await("the end's begin", () -> f.get("/ready").firstLine().contains(" 503 "));
            Client after = f.connectClient();
            after.write(submitRequest("after", LONG_TIMEOUT_MILLIS, "x"));
            String answer = before.read().firstLine();
            assertTrue(answer.contains(" 502 "), answer);
            // While the only server was busy, the request was either sent to no server or to this one.
            String laterAnswer = after.read().firstLine();
            assertTrue(laterAnswer.contains(" 502 ") || laterAnswer.contains(" 503 "), laterAnswer);
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** The platform's time runs from SIGTERM, and the loop is notified when most of that time has passed. */
    @Test
    void requestsOfALoopNotifiedLateOfTheShutdownAreAnsweredBeforeTheKill() throws Exception {
        try (ScriptedServer server = new ScriptedServer((socket, request) -> { }); GatewayFixture f =
                GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.write(submitRequest("r", LONG_TIMEOUT_MILLIS, "x"));
            await("the request", () -> server.requests.size() == 1);
            Runnable resume = f.stallLoop();
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            waitUnread(3_400);
            resume.run();
            // If the time were counted from the notification of the loop, the answer would come 3.5 s later.
            client.socket.setSoTimeout(2_500);
            assertTrue(client.read().firstLine().contains(" 502 "));
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** A part of a large body has arrived; its client would have 30 s for the rest, but the process ends earlier. */
    @Test
    void aRequestThatIsIncompleteAtShutdownIsAnswered() throws Exception {
        try (ScriptedServer server = new ScriptedServer(SERVE_OK); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client uploadingClient = f.connectClient();
            uploadingClient.write("POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\nContent-Length: 10000000\r\n\r\n");
            uploadingClient.write("x".repeat(1_000_000));
            await("the request", () -> f.countOpenRequests() == 1);
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            // The client keeps sending, so that the time-out for silence does not end the request before the process ends.
            CompletableFuture<Message> answered = CompletableFuture.supplyAsync(() -> {
                try {
                    return uploadingClient.read();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            while (!answered.isDone()) {
                uploadingClient.write("x".repeat(1_000));
                TimeUnit.MILLISECONDS.sleep(100);
            }
            Message answer = answered.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(answer.firstLine().contains(" 50"), answer.firstLine());
            uploadingClient.socket.close();
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
