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

/** What is still owed in the instant in which the process, a client's idle time or the listener ends. */
class EndCrossingsTest {
    private static final ScriptedHost.Script SERVES = ScriptedHost.reply("200 OK", "served");
    /** Longer than a gateway goes on taking at its end. */
    private static final long TAKING_MILLIS = 1_300;

    private static void lieUnread(long millis) throws Exception {
        long begin = System.nanoTime();
        await("it has lain unread", () -> System.nanoTime() - begin > TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /**
     * The time to stop falls due before the loop has looked at its sockets again: a request on a kept connection, the first one
     * of a new connection, and one on a connection that stands in the backlog have been taken by then.
     */
    @Test
    void whatLiesUnreadWhenTheListenerEndsIsAnswered() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client kept = f.client();
            kept.ask(status("before", LONG_MILLIS));
            Client silent = f.client();
            CompletableFuture<Void> ended = f.gateway.end();
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

    /** A loop that stood still for longer than a client may be silent: its request has been there all the while. */
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

    /** All places are taken in the turn in which the longest silent client's request is there and only not read yet. */
    @Test
    void aRequestThatLiesUnreadIsNotCutOffToMakeRoom() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                // 64 descriptors are kept for other uses; half of the other 16 are for clients.
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
     * All places are taken by clients whose requests are open, so that a further one waits in the backlog; it asks, leaves, and is
     * accepted only then: its request and its leaving are read together.
     */
    @Test
    void aRequestIsNotForwardedWhoseClientLeftWhileItWaitedToBeAccepted() throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            ScriptedHost.await(answers);
            SERVES.answer(socket, request);
        });
                // 64 descriptors are kept for other uses; half of the other 16 are for clients, and one more is taken in.
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

    /** The answer has been there all the while, and the attempt's time-out and the request's own fall due before it is read. */
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

    /** More than the system's buffers hold has been answered on a connection that stays open, and its client reads it late. */
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
            CompletableFuture<Void> ended = f.gateway.end();
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

    /** What can't be read stands behind more answers than the system's buffers hold, and its client reads them all late. */
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

    /** Its time is longer than the platform leaves from the word to end to the kill, which is 3.7 s at the most. */
    @Test
    void aRequestWithMoreTimeThanTheEndLeavesIsAnsweredBeforeTheKill() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> { }); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client before = f.client();
            before.write(submit("before", LONG_MILLIS, "x"));
            await("the request", () -> host.requests.size() == 1);
            CompletableFuture<Void> ended = f.gateway.end();
            await("the end's begin", () -> f.get("/ready").firstLine().contains(" 503 "));
            Client after = f.client();
            after.write(submit("after", LONG_MILLIS, "x"));
            String answer = before.read().firstLine();
            assertTrue(answer.contains(" 502 "), answer);
            // It was sent to nobody while the one host was busy, or sent there.
            String later = after.read().firstLine();
            assertTrue(later.contains(" 502 ") || later.contains(" 503 "), later);
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** The platform's time runs from its word, and the loop hears of it when most of that time has passed. */
    @Test
    void whatALoopThatHearsLateOfTheEndHoldsIsAnsweredBeforeTheKill() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> { }); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.write(submit("r", LONG_MILLIS, "x"));
            await("the request", () -> host.requests.size() == 1);
            Runnable goOn = f.holdLoop();
            CompletableFuture<Void> ended = f.gateway.end();
            lieUnread(3_400);
            goOn.run();
            // Counted from the hearing it would come 3.5 s later.
            client.socket.setSoTimeout(2_500);
            assertTrue(client.read().firstLine().contains(" 502 "));
            ended.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** A part of a large body has come, and its client has half a minute for the rest: the process doesn't. */
    @Test
    void aRequestThatIsNotWholeByTheEndIsAnsweredAllTheSame() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client half = f.client();
            half.write("POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\nContent-Length: 10000000\r\n\r\n");
            half.write("x".repeat(1_000_000));
            await("the request", () -> f.open() == 1);
            CompletableFuture<Void> ended = f.gateway.end();
            // It goes on to send, so that no silence of its own ends it before the process does.
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
