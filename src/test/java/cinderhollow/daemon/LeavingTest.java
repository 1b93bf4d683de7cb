package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.entry;
import static cinderhollow.daemon.GatewayFixture.line;
import static cinderhollow.daemon.GatewayFixture.list;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request that waits to be sent must not be sent once its client has disconnected or its server takes no new requests. */
class LeavingTest {
    private static final ScriptedHost.Script SERVES = ScriptedHost.reply("200 OK", "served");
    private static final int AHEAD = 40;
    /** Longer than any test waits, so that a time-out can't be mistaken for the detection of a disconnect. */
    private static final int FOR_GOOD_MILLIS = 300_000;

    /** Starts a gateway whose connects may take long, with cancels allowed or not. */
    private static GatewayFixture waiting(boolean mayCancel, ScriptedHost discovery, ScriptedHost... hosts) throws Exception {
        return GatewayFixture.tuned(settings -> settings.replace("\"dial_timeout_ns\":2000000000", "\"dial_timeout_ns\":20000000000")
                .replace("\"may_cancel\":true", "\"may_cancel\":" + mayCancel), discovery, hosts);
    }

    private static List<String> ids(ScriptedHost host) {
        return host.requests.stream().map(request -> request.header("X-Request-ID")).toList();
    }

    /** Cancelling a request that was never sent cancels no work of a server, so it is done even where cancels are forbidden. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRequestIsNotSentWhoseClientLeftBeforeItsConnectionCameUp(boolean mayCancel) throws Exception {
        try (ScriptedHost host = ScriptedHost.late(SERVES);
                GatewayFixture f = waiting(mayCancel, GatewayFixture.quietDiscovery(), host)) {
            Client client = f.client();
            client.write(submit("left", LONG_MILLIS, "x"));
            await("the request", () -> f.open() == 1);
            client.socket.close();
            await("the client's leaving", () -> f.open() == 0);
            host.comesUp();
            assertTrue(f.client().ask(submit("stays", LONG_MILLIS, "x")).firstLine().contains(" 200 "));
            // The connection for the first request is established by then, or is established now.
            await("its connection", () -> host.dialled() >= 1);
            assertEquals(List.of("stays"), ids(host));
        }
    }

    /** All pipelined requests are in the system's buffers, with the close of the connection behind them. */
    @Test
    void aLargeBodyIsNotSentWholeWhoseClientLeftBeforeTheConnectionCameUp() throws Exception {
        try (ScriptedHost host = ScriptedHost.late(SERVES);
                GatewayFixture f = waiting(false, GatewayFixture.quietDiscovery(), host)) {
            Client client = f.client();
            client.write(submit("left", LONG_MILLIS, "x".repeat(200_000)));
            await("the request", () -> f.open() == 1);
            client.socket.close();
            host.comesUp();
            await("the client's leaving", () -> f.open() == 0);
            assertTrue(f.client().ask(submit("stays", LONG_MILLIS, "x")).firstLine().contains(" 200 "));
            assertEquals(List.of("stays"), ids(host));
        }
    }

    /** The disconnect comes behind everything the client sent, so a gateway that stops reading never notices it. */
    @Test
    void aClientThatSentMuchAheadAndWentIsNoticed() throws Exception {
        StringBuilder ahead = new StringBuilder();
        for (int i = 0; i < AHEAD; i++) {
            ahead.append(status("r" + i, FOR_GOOD_MILLIS));
        }
        leaves(ahead.toString(), AHEAD);
    }

    @Test
    void aClientThatSentWhatCannotBeReadAndWentIsNoticed() throws Exception {
        leaves(status("r0", FOR_GOOD_MILLIS) + "no request at all\r\n\r\n" + "more of it\r\n".repeat(1_000), 1);
    }

    private static void leaves(String sent, int requests) throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            if ("other".equals(request.header("X-Request-ID"))) {
                SERVES.answer(socket, request);
            }
        }); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.write(sent);
            await("the first of them", () -> host.requests.size() == 1);
            client.socket.close();
            await("the client's leaving, of " + requests, () -> f.open() == 0);
            assertTrue(f.client().ask(status("other", LONG_MILLIS)).firstLine().contains(" 200 "));
            assertEquals(List.of("r0", "other"), ids(host));
        }
    }

    /**
     * The first server received the whole request and its connection broke; the connection to the second one is not established
     * within the dedup window. The unsent retry must be dropped at the end of that window, not when the connect or the client's
     * time ends.
     */
    @Test
    void aRepeatDoesNotGoOutOnceHostsHaveForgottenTheFirst() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            line(socket, list(1, false, List.of()));
            watches.add(socket);
        });
        CountDownLatch breaks = new CountDownLatch(1);
        try (ScriptedHost late = ScriptedHost.late(SERVES); ScriptedHost first = new ScriptedHost((socket, request) -> {
            ScriptedHost.await(breaks);
            ScriptedHost.reset(socket);
        }); GatewayFixture f = GatewayFixture.tuned(settings -> settings
                .replace("\"dial_timeout_ns\":2000000000", "\"dial_timeout_ns\":20000000000")
                .replace("\"semantics\":\"unsafe\"", "\"semantics\":\"keyed\",\"dedup_scope\":\"all\",\"window_ns\":3000000000"),
                discovery, first)) {
            Client client = f.client();
            client.write(submit("r", LONG_MILLIS, "x").replace("Host: x", "Host: x\r\nIdempotency-Key: k"));
            await("the first attempt", () -> first.requests.size() == 1);
            line(watches.get(0), list(2, false, List.of(entry("late", late, "up", 0))));
            await("the second host", () -> f.gateway.stats().join().endpoints() == 2);
            breaks.countDown();
            long begin = System.nanoTime();
            await("the end of the window", () -> System.nanoTime() - begin > TimeUnit.MILLISECONDS.toNanos(3_100));
            late.comesUp();
            await("the late connection", () -> late.dialled() >= 1);
            String answer = client.read().firstLine();
            assertTrue(answer.contains(" 503 ") || answer.contains(" 502 "), answer);
            client.write(submit("next", LONG_MILLIS, "x").replace("Host: x", "Host: x\r\nIdempotency-Key: n"));
            assertTrue(client.read().firstLine().contains(" 200 "));
            assertEquals(List.of("next"), ids(late));
        }
    }

    /**
     * The drain is reported during the connect: the waiting request must go to another server at once, and none to the
     * draining one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "removed"})
    void aRequestDoesNotGoToAHostThatDrainsBeforeItsConnectionComesUp(String becomes) throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            line(socket, list(1, false, List.of()));
            watches.add(socket);
        });
        try (ScriptedHost late = ScriptedHost.late(SERVES); ScriptedHost other = new ScriptedHost(SERVES);
                GatewayFixture f = waiting(true, discovery, late)) {
            Client client = f.client();
            client.write(submit("r", LONG_MILLIS, "x"));
            await("the request", () -> f.open() == 1);
            line(watches.get(0), list(2, false, List.of(entry("s-0", late, becomes, 0), entry("o", other, "up", 0))));
            assertTrue(client.read().firstLine().contains(" 200 "));
            assertEquals(List.of("r"), ids(other));
            late.comesUp();
            await("the late connection", () -> late.dialled() >= 1);
            assertTrue(f.client().ask(submit("next", LONG_MILLIS, "x")).firstLine().contains(" 200 "));
            assertEquals(List.of(), ids(late));
        }
    }
}
