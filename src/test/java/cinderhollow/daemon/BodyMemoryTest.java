package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.testing.Await;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Many slow peers at a gateway process whose direct memory is smaller than what their bodies would hold, if each of them held as
 * much as a single one may.
 */
class BodyMemoryTest {
    /** The buffer pool is set up as in the deployment's command, and the direct memory is a part of that command's. */
    static final Map<String, String> SMALL_MEMORY = Map.of("JAVA_TOOL_OPTIONS", "-Xmx64m -XX:MaxDirectMemorySize=10m"
            + " -Dio.netty.allocator.type=pooled -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=1"
            + " -Dio.netty.allocator.maxOrder=5");
    private static final String THREE_LOOPS = "[gateway]\nloops = 3\n";
    private static final int SLOW_PEERS = 200, USUAL_REQUESTS = 20, BACKLOG = 200;
    private static final int PIPELINING_CLIENTS = 4, PIPELINED_REQUESTS = 8_000;
    private static final long STANDSTILL_MILLIS = 200;
    /** Each slow client must still get this much of its answer afterwards. */
    private static final int LATER_BYTES = 200_000;
    private static final int USUAL_TIMEOUT_MILLIS = 600;
    /** An answer that comes later than this after its request's time counts as lost. */
    private static final int LOST_AFTER_MILLIS = 500;
    private static final String PIECE = "x".repeat(10_000), SMALL_PIECE = "x".repeat(1_500);

    @TempDir
    private Path folder;

    /** Answers a usual request at once, and all others without an end, in the given framing. */
    static ScriptedServer.Script endlessUnlessUsual(String framing) {
        return (socket, request) -> {
            if (request.header("X-Request-ID").startsWith("usual")) {
                ScriptedServer.reply("200 OK", "served").answer(socket, request);
                return;
            }
            boolean chunked = framing.startsWith("Transfer-Encoding");
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            String piece = chunked ? chunk(PIECE) : PIECE;
            while (true) {
                ScriptedServer.write(socket, piece);
            }
        };
    }

    static void assertUsualRequestsAreServed(GatewayProcess gateway) throws Exception {
        Client client = gateway.connectClient();
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            long sentAt = System.nanoTime();
            Message answer = client.exchange(statusRequest("usual-" + i, USUAL_TIMEOUT_MILLIS));
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            assertTrue(answer != null && answer.firstLine().contains(" 200 "), "request " + i + ": " + answer + gateway.log());
            assertTrue(millis <= USUAL_TIMEOUT_MILLIS + LOST_AFTER_MILLIS, "request " + i + " took " + millis + " ms");
        }
    }

    private static void assertSlowReadersHarmNobody(GatewayProcess gateway) throws Exception {
        List<Client> slowClients = new ArrayList<>();
        for (int i = 0; i < SLOW_PEERS; i++) {
            Client client = gateway.connectClient();
            client.write(statusRequest("slow-" + i, LONG_TIMEOUT_MILLIS));
            assertEquals('H', client.socket.getInputStream().read(), gateway.log());
            slowClients.add(client);
        }
        assertUsualRequestsAreServed(gateway);
        for (Client client : slowClients) {
            assertEquals(LATER_BYTES, client.socket.getInputStream().readNBytes(LATER_BYTES).length, gateway.log());
        }
    }

    /** Guards against slow readers that use up the direct memory, so that the event loop sleeps in its allocations. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 4000000000", "Transfer-Encoding: chunked"})
    void answersToSlowReadersLeaveTheMemoryThatOthersNeed(String framing) throws Exception {
        try (ScriptedServer server = new ScriptedServer(endlessUnlessUsual(framing));
                GatewayProcess gateway = GatewayProcess.start(folder, SMALL_MEMORY, server)) {
            assertSlowReadersHarmNobody(gateway);
        }
    }

    /** Guards against the same where the event loops of one process share the memory. */
    @Test
    void answersToSlowReadersLeaveTheMemoryThatOtherLoopsNeed() throws Exception {
        Map<String, String> environment = new HashMap<>(SMALL_MEMORY);
        environment.put("LB_OPERATOR", Files.writeString(folder.resolve("operator.toml"), THREE_LOOPS).toString());
        try (ScriptedServer server = new ScriptedServer(endlessUnlessUsual("Content-Length: 4000000000"));
                GatewayProcess gateway = GatewayProcess.start(folder, environment, server)) {
            assertSlowReadersHarmNobody(gateway);
        }
    }

    /** A server that reads nothing behind the head of a POST and answers every other request. */
    private static void serveButReadNoBody(ServerSocket listener, List<Socket> accepted) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                accepted.add(socket);
                startDaemonThread(() -> {
                    InputStream in = socket.getInputStream();
                    for (String head = readHead(in); head.startsWith("GET"); head = readHead(in)) {
                        ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved");
                    }
                });
            } catch (IOException e) {
                return; // closed by the test
            }
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("no further request");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    interface NetworkTask {
        void run() throws IOException;
    }

    static void startDaemonThread(NetworkTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The gateway or the test has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Guards against the same by uploads to servers that do not read them. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 50000000", "Transfer-Encoding: chunked"})
    void uploadsToSlowServersLeaveTheMemoryThatOthersNeed(String framing) throws Exception {
        List<Socket> accepted = new CopyOnWriteArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
                GatewayProcess gateway = GatewayProcess.start(folder, SMALL_MEMORY, "127.0.0.1:" + listener.getLocalPort())) {
            startDaemonThread(() -> serveButReadNoBody(listener, accepted));
            String piece = framing.startsWith("Transfer-Encoding") ? chunk(PIECE) : PIECE;
            AtomicLong writtenBytes = new AtomicLong();
            for (int i = 0; i < SLOW_PEERS; i++) {
                Client client = gateway.connectClient();
                client.write("POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: slow-" + i + "\r\n" + framing + "\r\n\r\n");
                startDaemonThread(() -> {
                    while (true) {
                        client.write(piece);
                        writtenBytes.addAndGet(piece.length());
                    }
                });
            }
            awaitStandstill(writtenBytes);
            assertUsualRequestsAreServed(gateway);
            accepted.forEach(BodyMemoryTest::closeQuietly);
        }
    }

    /** Guards against the same by bodies below the size of an upload, which are buffered whole until they are complete. */
    @Test
    void incompleteSmallBodiesLeaveTheMemoryThatOthersNeed() throws Exception {
        try (ScriptedServer server = new ScriptedServer(endlessUnlessUsual("Content-Length: 1"));
                GatewayProcess gateway = GatewayProcess.start(folder, SMALL_MEMORY, server)) {
            for (int i = 0; i < SLOW_PEERS; i++) {
                gateway.connectClient().write("POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: slow-" + i
                        + "\r\nContent-Length: 64000\r\n\r\n" + PIECE.repeat(6));
            }
            assertUsualRequestsAreServed(gateway);
        }
    }

    /** Guards against the same by answers below the size of a streamed one, to clients that ask on and read nothing. */
    @Test
    void answersToPipeliningClientsThatDoNotReadLeaveTheMemoryThatOthersNeed() throws Exception {
        AtomicLong answeredRequests = new AtomicLong();
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            boolean usual = request.header("X-Request-ID").startsWith("usual");
            answeredRequests.addAndGet(usual ? 0 : 1);
            ScriptedServer.reply("200 OK", usual ? "served" : SMALL_PIECE).answer(socket, request);
        }); GatewayProcess gateway = GatewayProcess.start(folder, SMALL_MEMORY, server)) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < PIPELINING_CLIENTS; i++) {
                clients.add(gateway.connectClient());
                StringBuilder requests = new StringBuilder();
                for (int j = 0; j < PIPELINED_REQUESTS; j++) {
                    requests.append(statusRequest("slow-" + i + "-" + j, LONG_TIMEOUT_MILLIS));
                }
                Client client = clients.get(i);
                startDaemonThread(() -> client.write(requests.toString()));
            }
            awaitStandstill(answeredRequests);
            assertUsualRequestsAreServed(gateway);
            for (int j = 0; j < PIPELINED_REQUESTS; j++) {
                assertTrue(clients.get(0).read().firstLine().contains(" 200 "), "answer " + j);
            }
        }
    }

    /** Waits until no more is written because all buffers on the way are full. */
    private static void awaitStandstill(AtomicLong writtenBytes) throws Exception {
        AtomicLong before = new AtomicLong(-1);
        Await.until("all buffers are full", () -> {
            TimeUnit.MILLISECONDS.sleep(STANDSTILL_MILLIS);
            return before.getAndSet(writtenBytes.get()) == writtenBytes.get();
        });
    }

    static String chunk(String piece) {
        return Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n";
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed either way.
        }
    }
}
