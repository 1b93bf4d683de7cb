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
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.Json;
import cinderhollow.core.RequestCounters.Counts;
import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.daemon.ScriptedServer.Script;
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
    private static final long POOL_CHUNK_BYTES = 4 << 20;
    private static final int LARGE_BODY_BYTES = 3_000_000, MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    /** Returns a body of consecutive numbers, so that a part that is missing or duplicated is detected. */
    private static String numberedBody(int length) {
        return IntStream.range(0, length / 8 + 1).mapToObj(i -> String.format("%08d", i)).collect(Collectors.joining())
                .substring(0, length);
    }

    private static String encodeChunked(String body, int size) {
        StringBuilder chunks = new StringBuilder();
        for (int at = 0; at < body.length(); at += size) {
            String part = body.substring(at, Math.min(body.length(), at + size));
            chunks.append(Integer.toHexString(part.length())).append(";a=b\r\n").append(part).append("\r\n");
        }
        return chunks.append("0\r\nTrailer: x\r\n\r\n").toString();
    }

    private static final Script ECHO = (socket, request) -> ScriptedServer.reply("200 OK", request.body())
            .answer(socket, request);
    private static final Script CHUNKED_ECHO = (socket, request) -> ScriptedServer.write(socket,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encodeChunked(request.body(), 7_001));
    private static final Script CLOSE_DELIMITED_ECHO = (socket, request) -> {
        ScriptedServer.write(socket, "HTTP/1.0 200 OK\r\n\r\n" + request.body());
        socket.close();
    };

    private static String chunkedSubmitRequest(String id, String body) {
        return "POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Timeout: " + LONG_TIMEOUT_MILLIS
                + "m\r\nTransfer-Encoding: chunked\r\n\r\n" + encodeChunked(body, 10_007);
    }

    /** Writes on another thread than it reads, because neither side may wait until the other has sent everything. */
    private static Message exchangeConcurrently(Client client, String request) throws Exception {
        Thread writer = new Thread(() -> {
            try {
                client.write(request);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        writer.start();
        Message answer = client.read();
        writer.join(TIMEOUT_MILLIS);
        return answer;
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, MAX_BUFFERED_BODY_BYTES - 1, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1,
            LARGE_BODY_BYTES})
    void bodiesGoBothWaysUnchangedInEachForm(int length) throws Exception {
        String body = numberedBody(length);
        try (ScriptedServer server = new ScriptedServer(ECHO); GatewayFixture f = GatewayFixture.withOpsSocket(server)) {
            Client client = f.connectClient();
            int requestNumber = 0;
            for (Script script : List.of(ECHO, CHUNKED_ECHO, CLOSE_DELIMITED_ECHO)) {
                server.setScript(script);
                assertEquals(body, exchangeConcurrently(client, submitRequest("a" + requestNumber, LONG_TIMEOUT_MILLIS, body))
                        .body());
                assertEquals(body, exchangeConcurrently(client, chunkedSubmitRequest("b" + requestNumber++, body)).body());
            }
            assertEquals(new Counts(6, 0, 0, 6), f.gateway.stats().get().countsByClass().get("submit"));
            assertEquals(0, f.gateway.stats().get().openRequests());
        }
    }

    /** Two large requests and a small one are pipelined on one connection. */
    @Test
    void requestsPipelinedBehindALargeBodyAreAnsweredInOrder() throws Exception {
        String body = numberedBody(LARGE_BODY_BYTES);
        try (ScriptedServer server = new ScriptedServer(ECHO); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            assertEquals(body, exchangeConcurrently(client, submitRequest("p1", LONG_TIMEOUT_MILLIS, body)
                    + chunkedSubmitRequest("p2", body)
                    + submitRequest("p3", LONG_TIMEOUT_MILLIS, "small")).body());
            assertEquals(body, client.read().body());
            assertEquals("small", client.read().body());
        }
    }

    @Test
    void aClientThatExpects100ContinueGetsItOnceTheBodyIsWanted() throws Exception {
        String body = numberedBody(LARGE_BODY_BYTES);
        try (ScriptedServer server = new ScriptedServer(ECHO); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            String[] parts = submitRequest("e1", LONG_TIMEOUT_MILLIS, body).replace("Host: x", "Expect: 100-continue")
                    .split("(?<=\r\n\r\n)", 2);
            assertTrue(client.exchange(parts[0]).firstLine().startsWith("HTTP/1.1 100 "));
            assertEquals(body, exchangeConcurrently(client, parts[1]).body());
        }
    }

    /** An HTTP/1.0 client does not know chunks: the close of the connection ends the body, and a reset marks a broken one. */
    @Test
    void anHttp10ClientGetsACloseDelimitedResponse() throws Exception {
        String body = numberedBody(LARGE_BODY_BYTES);
        try (ScriptedServer server = new ScriptedServer(CHUNKED_ECHO); GatewayFixture f = GatewayFixture.withServers(server)) {
            server.setScript((socket, request) -> ScriptedServer.write(socket,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encodeChunked(body, 9_999)));
            Client completeClient = f.connectClient();
            completeClient.write(statusRequest("o1", LONG_TIMEOUT_MILLIS).replace("HTTP/1.1", "HTTP/1.0"));
            assertTrue(new String(completeClient.socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).endsWith(body));
            server.setScript((socket, request) -> {
                ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n"
                        + numberedBody(0x20000));
                socket.close();
            });
            Client brokenClient = f.connectClient();
            brokenClient.write(statusRequest("o2", LONG_TIMEOUT_MILLIS).replace("HTTP/1.1", "HTTP/1.0"));
            assertThrows(IOException.class, () -> brokenClient.socket.getInputStream().readAllBytes());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 300000", "Transfer-Encoding: chunked"})
    void aTruncatedResponseIsVisibleToTheClientAndNotRetried(String framing) throws Exception {
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n"
                    + (framing.startsWith("C") ? "" : "30000\r\n") + numberedBody(150_000));
            socket.close();
        }); GatewayFixture f = GatewayFixture.withOpsSocket(server)) {
            Client client = f.connectClient();
            client.write(statusRequest("h1", LONG_TIMEOUT_MILLIS));
            String received = new String(client.socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(received.startsWith("HTTP/1.1 200 ") && received.length() < 200_000 && !received.endsWith("0\r\n\r\n"));
            assertEquals(1, server.requests.size());
            await("the count", () -> statusCounts(f).equals(new Counts(0, 0, 1, 1)));
            assertEquals(0, f.gateway.stats().get().openRequests());
        }
    }

    /**
     * The server's connection breaks behind the head of a large answer. Nothing of it has been forwarded, so the client must get
     * a complete answer.
     */
    @Test
    void aResponseThatBreaksOffAfterItsHeadIsAnsweredWith502() throws Exception {
        CompletableFuture<Socket> headSent = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n");
            headSent.complete(socket);
        }); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.write(submitRequest("h1", LONG_TIMEOUT_MILLIS, "x"));
            Socket serverSocket = headSent.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            // Requested after the head was written, so this answer comes after the gateway has read the head.
            f.get("/ready");
            ScriptedServer.reset(serverSocket);
            Message answer = client.read();
            assertNotNull(answer, "the connection ended without a word");
            assertTrue(answer.firstLine().contains(" 502 "), answer.firstLine());
        }
    }

    private static Counts statusCounts(GatewayFixture f) {
        return f.gateway.stats().join().countsByClass().get("status");
    }

    /** One server is down; a request of which nothing has been sent to it can still be sent to the other server. */
    @Test
    void aBodyOfWhichNothingWasSentGoesToAnotherServer() throws Exception {
        String body = numberedBody(LARGE_BODY_BYTES);
        ScriptedServer stoppedServer = new ScriptedServer(ECHO);
        try (ScriptedServer server = new ScriptedServer(ECHO); GatewayFixture f =
                GatewayFixture.withServers(stoppedServer, server)) {
            stoppedServer.stop();
            for (int i = 0; i < 8; i++) {
                assertEquals(body, exchangeConcurrently(f.connectClient(), submitRequest("g" + i, LONG_TIMEOUT_MILLIS, body))
                        .body());
            }
        }
    }

    /** The server dies during the upload: it never received the last byte, so nothing ran, and no other server gets the rest. */
    @Test
    void aBodyThatCannotBeSentAgainIsRefusedWhereTheServerNeverHadItWhole() throws Exception {
        try (ServerSocket dyingListener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
                ScriptedServer placeholderServer = new ScriptedServer(ECHO)) {
            Thread serverThread = new Thread(() -> {
                try {
                    Socket socket = dyingListener.accept();
                    socket.getInputStream().readNBytes(100_000);
                    ScriptedServer.reset(socket);
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            serverThread.start();
            String knownList = endpointListJson(1, true, List.of(endpointJson("s", placeholderServer, "up", 0)
                    .replace(placeholderServer.addressText(), "127.0.0.1:" + dyingListener.getLocalPort())));
            try (GatewayFixture f = new GatewayFixture(knownList, GatewayFixture.createIdleDiscovery(), 60_000_000_000L, 1024)) {
                Client client = f.connectClient();
                client.write("POST /submit HTTP/1.1\r\nX-Request-ID: d1\r\nContent-Length: 50000000\r\n\r\n"
                        + numberedBody(500_000));
                assertTrue(client.read().firstLine().contains(" 503 "));
                assertNull(client.read());
            }
            serverThread.join(TIMEOUT_MILLIS);
        }
    }

    /** Malformed framing during an upload: the client gets an error, and the server never gets the end of the body. */
    @Test
    void aMalformedUploadIsRejected() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ECHO); GatewayFixture f = GatewayFixture.withOpsSocket(server)) {
            Client client = f.connectClient();
            client.write(chunkedSubmitRequest("x1", numberedBody(LARGE_BODY_BYTES)).replace("0\r\nTrailer: x\r\n\r\n", "zz\r\n"));
            assertTrue(client.read().firstLine().contains(" 400 "));
            await("the host's end of it", () -> server.connections.get(0).isClosed());
            assertEquals(0, server.requests.size());
            assertEquals(0, f.gateway.stats().get().openRequests());
        }
    }

    /** When a client disconnects during its upload or its answer, the connection to the server is closed too. */
    @Test
    void aClientThatLeavesClosesTheServersConnection() throws Exception {
        AtomicLong writtenBytes = new AtomicLong();
        try (ScriptedServer server = new ScriptedServer(endlessResponse(writtenBytes)); GatewayFixture f =
                GatewayFixture.withOpsSocket(server)) {
            Client uploadingClient = f.connectClient();
            uploadingClient.write("POST /submit HTTP/1.1\r\nX-Request-ID: l1\r\nContent-Length: 50000000\r\n\r\n"
                    + numberedBody(300_000));
            await("the host's connection", () -> server.connections.size() == 1);
            uploadingClient.socket.close();
            await("its end", () -> server.connections.get(0).isClosed());
            Client readingClient = f.connectClient();
            readingClient.write(statusRequest("l2", LONG_TIMEOUT_MILLIS));
            await("the answer's begin", () -> writtenBytes.get() > 0);
            ScriptedServer.reset(readingClient.socket);
            await("its end", () -> server.connections.get(1).isClosed());
            await("nothing open", () -> f.gateway.stats().join().openRequests() == 0);
        }
    }

    private static Script endlessResponse(AtomicLong writtenBytes) {
        String part = "x".repeat(10_000);
        return (socket, request) -> {
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n");
            while (true) {
                ScriptedServer.write(socket, part);
                writtenBytes.addAndGet(part.length());
            }
        };
    }

    /**
     * The servers offer far more bytes than the gateway may buffer. For a client that reads nothing only a bounded number is
     * buffered, and the other clients are served.
     */
    @Test
    void clientsThatReadNothingHoldABoundedPartOfTheirAnswers() throws Exception {
        int clientCount = 24;
        AtomicLong writtenBytes = new AtomicLong();
        try (ScriptedServer server = new ScriptedServer(endlessResponse(writtenBytes)); GatewayFixture f =
                GatewayFixture.withServers(server)) {
            long usedBefore = usedDirectMemory();
            List<Client> silentClients = new ArrayList<>();
            for (int i = 0; i < clientCount; i++) {
                silentClients.add(f.connectClient());
                silentClients.get(i).write(statusRequest("m" + i, LONG_TIMEOUT_MILLIS));
                silentClients.get(i).socket.getInputStream().read();
            }
            // Writing has stalled when two readings of the counter, with an answer of the gateway between them, are equal.
            AtomicLong lastWritten = new AtomicLong(-1);
            await("a stall", () -> f.get("/ready").firstLine().contains(" 200 ")
                    && lastWritten.getAndSet(writtenBytes.get()) == writtenBytes.get());
            long grownBytes = usedDirectMemory() - usedBefore;
            // The buffer pool counts in chunks, and one chunk may have been allocated for something else.
            assertTrue(grownBytes < clientCount * 300_000L + POOL_CHUNK_BYTES, grownBytes + " bytes are held of "
                    + writtenBytes.get());
        }
    }

    private static long usedDirectMemory() {
        return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric().usedDirectMemory();
    }

    /**
     * Neither standby, nor a new configuration without the request's class, nor shutdown cuts off a large body in either
     * direction.
     */
    @ParameterizedTest
    @ValueSource(strings = {"standby", "retune", "end"})
    void aLargeBodySurvivesStandbyReloadAndShutdown(String operation) throws Exception {
        String body = numberedBody(LARGE_BODY_BYTES);
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n" + body);
        }); GatewayFixture f = GatewayFixture.withOpsSocket(server)) {
            Client uploadingClient = f.connectClient();
            String upload = submitRequest("o2", LONG_TIMEOUT_MILLIS, body);
            uploadingClient.write(upload.substring(0, 200_000));
            // No other request runs, so the open one is this upload; before its head is read, its class could be removed.
            await("the upload", () -> f.gateway.stats().join().openRequests() == 1);
            Client readingClient = f.connectClient();
            readingClient.write(statusRequest("o1", LONG_TIMEOUT_MILLIS));
            int firstByte = readingClient.socket.getInputStream().read();
            CompletableFuture<Void> shutdownDone = new CompletableFuture<>();
            switch (operation) {
                case "standby" -> f.gateway.setStandby(true).get();
                case "retune" -> f.gateway.reconfigure(GatewayConfig.read(Json.read("{\"seed\":\"1\",\"settings\":"
                        + GatewayFixture.SETTINGS.replace("IDLE", "1000000000").replace("\"submit\"", "\"other\"")
                                .replace("\"status\"", "\"another\"") + "}"), null, null, null)).get();
                default -> f.gateway.shutDown().thenRun(() -> shutdownDone.complete(null));
            }
            uploadingClient.write(upload.substring(200_000));
            assertEquals(body, uploadingClient.read().body());
            assertEquals('H', firstByte);
            String rest = new String(readingClient.socket.getInputStream().readNBytes(LARGE_BODY_BYTES), StandardCharsets.UTF_8);
            assertTrue(rest.contains("\r\n\r\n" + body.substring(0, LARGE_BODY_BYTES - 1_000)));
            assertEquals(1, f.gateway.stats().get().countsByClass().get("submit").fulfilled());
        }
    }

    /** A client that sends fewer bytes per second than any real connection is disconnected, with an error that says why. */
    @Test
    void aBodyThatTricklesInTimesOut() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ECHO); GatewayFixture f = GatewayFixture.withOpsSocket(server)) {
            Client client = f.connectClient();
            client.write("POST /submit HTTP/1.1\r\nX-Request-ID: t1\r\nContent-Length: 50000000\r\n\r\n" + "x".repeat(70_000));
            assertTrue(client.read().firstLine().contains(" 408 "));
            await("the host's end of it", () -> server.connections.stream().allMatch(Socket::isClosed));
            assertEquals(0, server.requests.size());
            assertEquals(new Counts(0, 0, 1, 0), f.gateway.stats().get().countsByClass().get("submit"));
        }
    }

    /**
     * The gateway closes its connections to a server that has restarted; the part of a body from before the restart is
     * incomplete.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 200_000})
    void aBodyUpToTheConnectionsEndIsNotWholeWhereTheGatewayEndsTheConnection(int sentBytes) throws Exception {
        CompletableFuture<Socket> watchSocket = new CompletableFuture<>();
        ScriptedServer discovery = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            GatewayFixture.sendWatchLine(socket, endpointListJson(1, false, List.of()));
            watchSocket.complete(socket);
        });
        try (ScriptedServer server = new ScriptedServer((socket, request) ->
                    ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\n\r\n" + numberedBody(sentBytes)));
                GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                        discovery,
                        60_000_000_000L, 1024)) {
            Client client = f.connectClient();
            client.write(submitRequest("n1", LONG_TIMEOUT_MILLIS, "x"));
            await("the request", () -> server.requests.size() == 1);
            // Later than the time of the connection, even if clocks differ.
            long restartMillis = System.currentTimeMillis() + 60_000;
            GatewayFixture.sendWatchLine(watchSocket.get(),
                    endpointListJson(2, false, List.of(endpointJson("s", server, "up", restartMillis))));
            String received = new String(client.socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8);
            if (received.endsWith("502")) {
                return;
            }
            assertTrue(sentBytes > MAX_BUFFERED_BODY_BYTES, "nothing of it had gone out");
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
    void eachValidFormOfARequestIsAccepted(String request) throws Exception {
        try (ScriptedServer server = new ScriptedServer(ECHO); GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            for (int cut : new int[] {0, 1, request.length() / 2, request.length() - 1}) {
                client.write(request.substring(0, cut).replace(": r\r", ": r" + cut + "\r"));
                client.write(request.substring(cut).replace(": r\r", ": r" + cut + "\r"));
                assertEquals("body", client.read().body());
            }
            assertTrue(server.requests.stream().allMatch(r -> r.firstLine().equals("POST /submit HTTP/1.1")));
        }
    }
}
