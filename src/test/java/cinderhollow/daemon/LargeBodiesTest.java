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
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.Json;
import cinderhollow.core.RequestCounters.Counts;
import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedHost.Message;
import cinderhollow.daemon.ScriptedHost.Script;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies of requests and answers that are too large to be buffered, in all framings, and failures in the middle of them. */
class LargeBodiesTest {
    private static final long POOL_CHUNK = 4 << 20;
    private static final int LARGE = 3_000_000, HELD = 64 * 1024;

    /** Returns a body of consecutive numbers, so that a part that is missing or duplicated is detected. */
    private static String body(int length) {
        return IntStream.range(0, length / 8 + 1).mapToObj(i -> String.format("%08d", i)).collect(Collectors.joining())
                .substring(0, length);
    }

    private static String chunked(String body, int size) {
        StringBuilder chunks = new StringBuilder();
        for (int at = 0; at < body.length(); at += size) {
            String part = body.substring(at, Math.min(body.length(), at + size));
            chunks.append(Integer.toHexString(part.length())).append(";a=b\r\n").append(part).append("\r\n");
        }
        return chunks.append("0\r\nTrailer: x\r\n\r\n").toString();
    }

    private static final Script ECHO = (socket, request) -> ScriptedHost.reply("200 OK", request.body()).answer(socket, request);
    private static final Script CHUNKED_ECHO = (socket, request) -> ScriptedHost.write(socket,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(request.body(), 7_001));
    private static final Script ECHO_TO_THE_END = (socket, request) -> {
        ScriptedHost.write(socket, "HTTP/1.0 200 OK\r\n\r\n" + request.body());
        socket.close();
    };

    private static String chunkedSubmit(String id, String body) {
        return "POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Timeout: " + LONG_MILLIS
                + "m\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 10_007);
    }

    /** Writes on another thread than it reads, because neither side may wait until the other has sent everything. */
    private static Message ask(Client client, String request) throws Exception {
        Thread writer = new Thread(() -> {
            try {
                client.write(request);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        writer.start();
        Message answer = client.read();
        writer.join(PATIENCE_MILLIS);
        return answer;
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, HELD - 1, HELD, HELD + 1, LARGE})
    void bodiesGoBothWaysUnchangedInEachForm(int length) throws Exception {
        String body = body(length);
        try (ScriptedHost host = new ScriptedHost(ECHO); GatewayFixture f = GatewayFixture.asked(host)) {
            Client client = f.client();
            int n = 0;
            for (Script script : List.of(ECHO, CHUNKED_ECHO, ECHO_TO_THE_END)) {
                host.script(script);
                assertEquals(body, ask(client, submit("a" + n, LONG_MILLIS, body)).body());
                assertEquals(body, ask(client, chunkedSubmit("b" + n++, body)).body());
            }
            assertEquals(new Counts(6, 0, 0, 6), f.gateway.stats().get().countsByClass().get("submit"));
            assertEquals(0, f.gateway.stats().get().openRequests());
        }
    }

    /** Two large requests and a small one are pipelined on one connection. */
    @Test
    void whatIsSentBehindALargeBodyIsAnsweredInItsTurn() throws Exception {
        String body = body(LARGE);
        try (ScriptedHost host = new ScriptedHost(ECHO); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            assertEquals(body, ask(client, submit("p1", LONG_MILLIS, body) + chunkedSubmit("p2", body)
                    + submit("p3", LONG_MILLIS, "small")).body());
            assertEquals(body, client.read().body());
            assertEquals("small", client.read().body());
        }
    }

    @Test
    void aClientThatWaitsToBeToldIsToldOnceTheBodyIsWanted() throws Exception {
        String body = body(LARGE);
        try (ScriptedHost host = new ScriptedHost(ECHO); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            String[] parts = submit("e1", LONG_MILLIS, body).replace("Host: x", "Expect: 100-continue").split("(?<=\r\n\r\n)", 2);
            assertTrue(client.ask(parts[0]).firstLine().startsWith("HTTP/1.1 100 "));
            assertEquals(body, ask(client, parts[1]).body());
        }
    }

    /** An HTTP/1.0 client does not know chunks: the close of the connection ends the body, and a reset marks a broken one. */
    @Test
    void aClientOfOldHasItsAnswerUpToTheConnectionsEnd() throws Exception {
        String body = body(LARGE);
        try (ScriptedHost host = new ScriptedHost(CHUNKED_ECHO); GatewayFixture f = GatewayFixture.knowing(host)) {
            host.script((socket, request) -> ScriptedHost.write(socket,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 9_999)));
            Client whole = f.client();
            whole.write(status("o1", LONG_MILLIS).replace("HTTP/1.1", "HTTP/1.0"));
            assertTrue(new String(whole.socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).endsWith(body));
            host.script((socket, request) -> {
                ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + body(0x20000));
                socket.close();
            });
            Client broken = f.client();
            broken.write(status("o2", LONG_MILLIS).replace("HTTP/1.1", "HTTP/1.0"));
            assertThrows(IOException.class, () -> broken.socket.getInputStream().readAllBytes());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 300000", "Transfer-Encoding: chunked"})
    void anAnswerThatBreaksOffIsSeenToAndIsSentNoSecondTime(String framing) throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n"
                    + (framing.startsWith("C") ? "" : "30000\r\n") + body(150_000));
            socket.close();
        }); GatewayFixture f = GatewayFixture.asked(host)) {
            Client client = f.client();
            client.write(status("h1", LONG_MILLIS));
            String came = new String(client.socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(came.startsWith("HTTP/1.1 200 ") && came.length() < 200_000 && !came.endsWith("0\r\n\r\n"));
            assertEquals(1, host.requests.size());
            await("the count", () -> counts(f).equals(new Counts(0, 0, 1, 1)));
            assertEquals(0, f.gateway.stats().get().openRequests());
        }
    }

    /**
     * The server's connection breaks behind the head of a large answer. Nothing of it has been forwarded, so the client must get
     * a complete answer.
     */
    @Test
    void anAnswerThatBreaksOffBehindItsHeadIsOneThatHasNotBegun() throws Exception {
        CompletableFuture<Socket> begun = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n");
            begun.complete(socket);
        }); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.write(submit("h1", LONG_MILLIS, "x"));
            Socket out = begun.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            // Requested after the head was written, so this answer comes after the gateway has read the head.
            f.get("/ready");
            ScriptedHost.reset(out);
            Message answer = client.read();
            assertNotNull(answer, "the connection ended without a word");
            assertTrue(answer.firstLine().contains(" 502 "), answer.firstLine());
        }
    }

    private static Counts counts(GatewayFixture f) {
        return f.gateway.stats().join().countsByClass().get("status");
    }

    /** One server is down; a request of which nothing has been sent to it can still be sent to the other server. */
    @Test
    void aBodyOfWhichNothingWentOutGoesToAnotherHost() throws Exception {
        String body = body(LARGE);
        ScriptedHost gone = new ScriptedHost(ECHO);
        try (ScriptedHost host = new ScriptedHost(ECHO); GatewayFixture f = GatewayFixture.knowing(gone, host)) {
            gone.stop();
            for (int i = 0; i < 8; i++) {
                assertEquals(body, ask(f.client(), submit("g" + i, LONG_MILLIS, body)).body());
            }
        }
    }

    /** The server dies during the upload: it never received the last byte, so nothing ran, and no other server gets the rest. */
    @Test
    void aBodyThatCannotBeSentAgainIsRefusedWhereTheHostNeverHadIt() throws Exception {
        try (ServerSocket dies = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
                ScriptedHost never = new ScriptedHost(ECHO)) {
            Thread host = new Thread(() -> {
                try {
                    Socket socket = dies.accept();
                    socket.getInputStream().readNBytes(100_000);
                    ScriptedHost.reset(socket);
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            host.start();
            String known = list(1, true, List.of(entry("s", never, "up", 0)
                    .replace(never.addressText(), "127.0.0.1:" + dies.getLocalPort())));
            try (GatewayFixture f = new GatewayFixture(known, GatewayFixture.quietDiscovery(), 60_000_000_000L, 1024)) {
                Client client = f.client();
                client.write("POST /submit HTTP/1.1\r\nX-Request-ID: d1\r\nContent-Length: 50000000\r\n\r\n" + body(500_000));
                assertTrue(client.read().firstLine().contains(" 503 "));
                assertNull(client.read());
            }
            host.join(PATIENCE_MILLIS);
        }
    }

    /** Malformed framing during an upload: the client gets an error, and the server never gets the end of the body. */
    @Test
    void anUploadThatCannotBeReadOnIsTurnedDown() throws Exception {
        try (ScriptedHost host = new ScriptedHost(ECHO); GatewayFixture f = GatewayFixture.asked(host)) {
            Client client = f.client();
            client.write(chunkedSubmit("x1", body(LARGE)).replace("0\r\nTrailer: x\r\n\r\n", "zz\r\n"));
            assertTrue(client.read().firstLine().contains(" 400 "));
            await("the host's end of it", () -> host.connections.get(0).isClosed());
            assertEquals(0, host.requests.size());
            assertEquals(0, f.gateway.stats().get().openRequests());
        }
    }

    /** When a client disconnects during its upload or its answer, the connection to the server is closed too. */
    @Test
    void aClientThatLeavesEndsTheHostsSide() throws Exception {
        AtomicLong written = new AtomicLong();
        try (ScriptedHost host = new ScriptedHost(endless(written)); GatewayFixture f = GatewayFixture.asked(host)) {
            Client uploads = f.client();
            uploads.write("POST /submit HTTP/1.1\r\nX-Request-ID: l1\r\nContent-Length: 50000000\r\n\r\n" + body(300_000));
            await("the host's connection", () -> host.connections.size() == 1);
            uploads.socket.close();
            await("its end", () -> host.connections.get(0).isClosed());
            Client reads = f.client();
            reads.write(status("l2", LONG_MILLIS));
            await("the answer's begin", () -> written.get() > 0);
            ScriptedHost.reset(reads.socket);
            await("its end", () -> host.connections.get(1).isClosed());
            await("nothing open", () -> f.gateway.stats().join().openRequests() == 0);
        }
    }

    private static Script endless(AtomicLong written) {
        String part = "x".repeat(10_000);
        return (socket, request) -> {
            ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n");
            while (true) {
                ScriptedHost.write(socket, part);
                written.addAndGet(part.length());
            }
        };
    }

    /**
     * The servers offer far more bytes than the gateway may buffer. For a client that reads nothing only a bounded number is
     * buffered, and the other clients are served.
     */
    @Test
    void clientsThatReadNothingHoldABoundedPartOfTheirAnswers() throws Exception {
        int clients = 24;
        AtomicLong written = new AtomicLong();
        try (ScriptedHost host = new ScriptedHost(endless(written)); GatewayFixture f = GatewayFixture.knowing(host)) {
            long before = held();
            List<Client> silent = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                silent.add(f.client());
                silent.get(i).write(status("m" + i, LONG_MILLIS));
                silent.get(i).socket.getInputStream().read();
            }
            // Writing has stalled when two readings of the counter, with an answer of the gateway between them, are equal.
            AtomicLong last = new AtomicLong(-1);
            await("a stall", () -> f.get("/ready").firstLine().contains(" 200 ") && last.getAndSet(written.get()) == written.get());
            long grown = held() - before;
            // The buffer pool counts in chunks, and one chunk may have been allocated for something else.
            assertTrue(grown < clients * 300_000L + POOL_CHUNK, grown + " bytes are held of " + written.get());
        }
    }

    private static long held() {
        return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric().usedDirectMemory();
    }

    /**
     * Neither standby, nor a new configuration without the request's class, nor shutdown cuts off a large body in either
     * direction.
     */
    @ParameterizedTest
    @ValueSource(strings = {"standby", "retune", "end"})
    void aLargeBodyOutlastsWhatOperatorsDoMeanwhile(String what) throws Exception {
        String body = body(LARGE);
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE + "\r\n\r\n" + body);
        }); GatewayFixture f = GatewayFixture.asked(host)) {
            Client writes = f.client();
            String upload = submit("o2", LONG_MILLIS, body);
            writes.write(upload.substring(0, 200_000));
            // No other request runs, so the open one is this upload; before its head is read, its class could be removed.
            await("the upload", () -> f.gateway.stats().join().openRequests() == 1);
            Client reads = f.client();
            reads.write(status("o1", LONG_MILLIS));
            int first = reads.socket.getInputStream().read();
            CompletableFuture<Void> ended = new CompletableFuture<>();
            switch (what) {
                case "standby" -> f.gateway.setStandby(true).get();
                case "retune" -> f.gateway.reconfigure(GatewayConfig.read(Json.read("{\"seed\":\"1\",\"settings\":"
                        + GatewayFixture.SETTINGS.replace("IDLE", "1000000000").replace("\"submit\"", "\"other\"")
                                .replace("\"status\"", "\"another\"") + "}"), null, null, null)).get();
                default -> f.gateway.shutDown().thenRun(() -> ended.complete(null));
            }
            writes.write(upload.substring(200_000));
            assertEquals(body, writes.read().body());
            assertEquals('H', first);
            String rest = new String(reads.socket.getInputStream().readNBytes(LARGE), StandardCharsets.UTF_8);
            assertTrue(rest.contains("\r\n\r\n" + body.substring(0, LARGE - 1_000)));
            assertEquals(1, f.gateway.stats().get().countsByClass().get("submit").fulfilled());
        }
    }

    /** A client that sends fewer bytes per second than any real connection is disconnected, with an error that says why. */
    @Test
    void aBodyThatTricklesInIsEnded() throws Exception {
        try (ScriptedHost host = new ScriptedHost(ECHO); GatewayFixture f = GatewayFixture.asked(host)) {
            Client client = f.client();
            client.write("POST /submit HTTP/1.1\r\nX-Request-ID: t1\r\nContent-Length: 50000000\r\n\r\n" + "x".repeat(70_000));
            assertTrue(client.read().firstLine().contains(" 408 "));
            await("the host's end of it", () -> host.connections.stream().allMatch(Socket::isClosed));
            assertEquals(0, host.requests.size());
            assertEquals(new Counts(0, 0, 1, 0), f.gateway.stats().get().countsByClass().get("submit"));
        }
    }

    /**
     * The gateway closes its connections to a server that has restarted; the part of a body from before the restart is
     * incomplete.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 200_000})
    void aBodyUpToTheConnectionsEndIsNotWholeWhereTheGatewayEndsTheConnection(int sent) throws Exception {
        CompletableFuture<Socket> watch = new CompletableFuture<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            GatewayFixture.line(socket, list(1, false, List.of()));
            watch.complete(socket);
        });
        try (ScriptedHost host = new ScriptedHost((socket, request) ->
                    ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\n\r\n" + body(sent)));
                GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", host, "up", 0))), discovery,
                        60_000_000_000L, 1024)) {
            Client client = f.client();
            client.write(submit("n1", LONG_MILLIS, "x"));
            await("the request", () -> host.requests.size() == 1);
            // Later than the time of the connection, even if clocks differ.
            long anew = System.currentTimeMillis() + 60_000;
            GatewayFixture.line(watch.get(), list(2, false, List.of(entry("s", host, "up", anew))));
            String came = new String(client.socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8);
            if (came.endsWith("502")) {
                return;
            }
            assertTrue(sent > HELD, "nothing of it had gone out");
            String rest = new String(client.socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(!rest.endsWith("0\r\n\r\n"), "the client sees that it is not whole");
        }
    }

    /** RFC 9112: a request whose framing is unambiguous is accepted, in any of its forms. */
    @ParameterizedTest
    @ValueSource(strings = {
        "\r\n\r\nPOST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 4\r\n\r\nbody",
        "POST http://gateway.example/submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 4\r\n\r\nbody",
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nTransfer-Encoding: CHUNKED\r\n\r\n4;x=\"y\"\r\nbody\r\n0\r\nT: u\r\n\r\n",
        "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nConnection: te, keep-alive\r\nContent-Length: 4\r\n\r\nbody",
        "POST /submit HTTP/1.0\r\nX-Request-ID: r\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody"})
    void eachFormOfARequestIsTaken(String request) throws Exception {
        try (ScriptedHost host = new ScriptedHost(ECHO); GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            for (int cut : new int[] {0, 1, request.length() / 2, request.length() - 1}) {
                client.write(request.substring(0, cut).replace(": r\r", ": r" + cut + "\r"));
                client.write(request.substring(cut).replace(": r\r", ": r" + cut + "\r"));
                assertEquals("body", client.read().body());
            }
            assertTrue(host.requests.stream().allMatch(r -> r.firstLine().equals("POST /submit HTTP/1.1")));
        }
    }
}
