package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.entry;
import static cinderhollow.daemon.GatewayFixture.list;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedHost.Message;
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
class EndCrossingsTest {
    private static final ScriptedHost.Script SERVES = ScriptedHost.reply("200 OK", "served");
    /** Longer than the time for which a gateway that shuts down still accepts requests. */
    private static final long TAKING_MILLIS = 1_300;

    private static void lieUnread(long millis) throws Exception {
        long begin = System.nanoTime();
        await("it has lain unread", () -> System.nanoTime() - begin > TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /**
     * The timer that closes the listener expires before the loop has read its sockets again. A request on a kept connection, the
     * first request of a new connection, and one on a connection in the backlog must still be accepted and answered.
     */
    @Test
    void whatLiesUnreadWhenTheListenerEndsIsAnswered() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client kept = f.client();
            kept.ask(status("before", LONG_MILLIS));
            Client silent = f.client();
            CompletableFuture<Void> ended = f.gateway.shutDown();
            await("the end's begin", () -> f.get("/ready").firstLine().contains(" 503 "));
            Runnable goOn = f.holdLoopAtItsSockets();
            Client backlog = f.client();
            kept.write(status("kept", LONG_MILLIS));
            silent.write(status("new", LONG_MILLIS));
            backlog.write(submit("backlog", LONG_MILLIS, "x"));
            lieUnread(TAKING_MILLIS);
            goOn.run();
            for (Client client : List.of(kept, silent, backlog)) {
                assertServed(client.read());
                assertNull(client.read(), "closed in the end");
            }
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** The loop stalls for longer than a client may be silent, while the client's request is already in the socket. */
    @Test
    void aClientIsNotCutOffForASilenceThatWasTheLoops() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            f.get("/ready");
            Runnable goOn = f.holdLoopAtItsSockets();
            client.write(status("r", LONG_MILLIS));
            lieUnread(2_500);
            goOn.run();
            assertServed(client.read());
        }
    }

    /**
     * All connections are in use when the request of the client that has been silent longest is in the socket but not read
     * yet.
     */
    @Test
    void aRequestThatLiesUnreadIsNotCutOffToMakeRoom() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                // 64 descriptors are reserved for other uses; half of the remaining 16 are for clients.
                GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", host, "up", 0))),
                        GatewayFixture.quietDiscovery(), 60_000_000_000L, 80)) {
            Client longest = f.client();
            f.get("/ready");
            lieUnread(100);
            Runnable goOn = f.holdLoopAtItsSockets();
            for (int i = 0; i < 8; i++) {
                f.client();
            }
            longest.write(status("r", LONG_MILLIS));
            goOn.run();
            assertServed(longest.read());
        }
    }

    /**
     * All connections are in use by clients with open requests, so a further client waits in the backlog. It sends a request,
     * disconnects, and is accepted only afterwards, so that its request and its disconnect are read together.
     */
    @Test
    void aRequestIsNotForwardedWhoseClientLeftWhileItWaitedToBeAccepted() throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            ScriptedHost.await(answers);
            SERVES.answer(socket, request);
        });
                // 64 descriptors are reserved for other uses; half of the remaining 16 are for clients, and one more is accepted.
                GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", host, "up", 0))),
                        GatewayFixture.quietDiscovery(), 60_000_000_000L, 80)) {
            List<Client> open = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                open.add(f.client());
                open.get(i).write(status("open-" + i, LONG_MILLIS));
            }
            await("all places taken", () -> f.open() == 9);
            Client waiting = f.client();
            waiting.write(status("left", LONG_MILLIS));
            waiting.socket.close();
            answers.countDown();
            for (Client client : open) {
                assertServed(client.read());
            }
            assertServed(f.client().ask(status("last", LONG_MILLIS)));
            assertTrue(host.requests.stream().noneMatch(request -> request.header("X-Request-ID").equals("left")));
        }
    }

    /** The answer is in the socket, and the time-outs of the attempt and of the request expire before it is read. */
    @Test
    void anAnswerThatLiesUnreadWhenItsTimeIsOverIsServed() throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            ScriptedHost.await(answers);
            SERVES.answer(socket, request);
        }); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.write(submit("r", 2_000, "x"));
            await("the request", () -> host.requests.size() == 1);
            Runnable goOn = f.holdLoopAtItsSockets();
            answers.countDown();
            lieUnread(2_300);
            goOn.run();
            assertServed(client.read());
        }
    }

    private static void assertServed(Message answer) {
        assertNotNull(answer, "closed without an answer");
        assertTrue(answer.firstLine().contains(" 200 "), answer.firstLine());
    }

    /** The answers on a connection that stays open exceed the system's buffers, and the client reads them late. */
    @Test
    void answersThatTheirClientHasNotReadYetOutlastTheEndOfIdleConnections() throws Exception {
        int many = 120;
        String body = "y".repeat(60_000);
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", body));
                GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            for (int i = 0; i < many; i++) {
                client.write(status("r" + i, LONG_MILLIS));
            }
            await("all are answered", () -> host.requests.size() == many && f.open() == 0);
            CompletableFuture<Void> ended = f.gateway.shutDown();
            await("the listener's end", () -> !accepts(f));
            for (int i = 0; i < many; i++) {
                Message answer = client.read();
                assertServed(answer);
                assertEquals(body.length(), answer.body().length());
            }
            assertNull(client.read(), "closed in the end");
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** A malformed request comes behind more answers than the system's buffers hold, and the client reads all of them late. */
    @Test
    void whoIsToldThatItCannotBeReadHasAllItsAnswersFirst() throws Exception {
        int many = 120;
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "y".repeat(60_000)));
                GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            for (int i = 0; i < many; i++) {
                client.write(status("r" + i, LONG_MILLIS));
            }
            client.write("no request at all\r\n\r\n");
            await("all are answered", () -> host.requests.size() == many && f.open() == 0);
            lieUnread(500);
            for (int i = 0; i < many; i++) {
                assertServed(client.read());
            }
            assertTrue(client.read().firstLine().contains(" 400 "));
            assertNull(client.read(), "closed in the end");
        }
    }

    private static boolean accepts(GatewayFixture f) {
        try {
            f.client().socket.close();
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
    void aRequestWithMoreTimeThanTheEndLeavesIsAnsweredBeforeTheKill() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> { }); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client before = f.client();
            before.write(submit("before", LONG_MILLIS, "x"));
            await("the request", () -> host.requests.size() == 1);
            CompletableFuture<Void> ended = f.gateway.shutDown();
            await("the end's begin", () -> f.get("/ready").firstLine().contains(" 503 "));
            Client after = f.client();
            after.write(submit("after", LONG_MILLIS, "x"));
            String answer = before.read().firstLine();
            assertTrue(answer.contains(" 502 "), answer);
            // While the only server was busy, the request was either sent to no server or to this one.
            String later = after.read().firstLine();
            assertTrue(later.contains(" 502 ") || later.contains(" 503 "), later);
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** The platform's time runs from SIGTERM, and the loop is notified when most of that time has passed. */
    @Test
    void whatALoopThatHearsLateOfTheEndHoldsIsAnsweredBeforeTheKill() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> { }); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.write(submit("r", LONG_MILLIS, "x"));
            await("the request", () -> host.requests.size() == 1);
            Runnable goOn = f.holdLoop();
            CompletableFuture<Void> ended = f.gateway.shutDown();
            lieUnread(3_400);
            goOn.run();
            // If the time were counted from the notification of the loop, the answer would come 3.5 s later.
            client.socket.setSoTimeout(2_500);
            assertTrue(client.read().firstLine().contains(" 502 "));
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** A part of a large body has arrived; its client would have 30 s for the rest, but the process ends earlier. */
    @Test
    void aRequestThatIsNotWholeByTheEndIsAnsweredAllTheSame() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client half = f.client();
            half.write("POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\nContent-Length: 10000000\r\n\r\n");
            half.write("x".repeat(1_000_000));
            await("the request", () -> f.open() == 1);
            CompletableFuture<Void> ended = f.gateway.shutDown();
            // The client keeps sending, so that the time-out for silence does not end the request before the process ends.
            CompletableFuture<Message> answered = CompletableFuture.supplyAsync(() -> {
                try {
                    return half.read();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            while (!answered.isDone()) {
                half.write("x".repeat(1_000));
                TimeUnit.MILLISECONDS.sleep(100);
            }
            Message answer = answered.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(answer.firstLine().contains(" 50"), answer.firstLine());
            half.socket.close();
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
