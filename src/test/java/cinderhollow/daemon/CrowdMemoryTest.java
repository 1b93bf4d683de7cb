package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.testing.Await;
import cinderhollow.testing.Loopback;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Crowds of clients that come again and again with input that costs the heap many times its length, at a gateway process with the
 * deployment's options: the process goes on, what clients hold stays within its bound, and usual clients are answered.
 */
class CrowdMemoryTest {
    private static final int CROWD = 450, USUAL_CLIENTS = 20, LATER_REQUESTS = 20;
    private static final long CROWD_SECONDS = 6, HEAP_SAMPLE_INTERVAL_MILLIS = 250;
    /** Longer than a refused connection is kept for the client's own close. */
    private static final int STAY_MILLIS = 1_200;
    /** Long enough for the answer, and shorter than a refused connection is kept. */
    private static final int SHORT_STAY_MILLIS = 50;
    /** Both make a head just within the size that the gateway accepts. */
    private static final int UNFINISHED_FIELDS = 1_924, UPLOAD_FIELDS = 1_260, PIPELINED_REQUESTS = 800, TINY_PIECES = 20_000;
    private static final int SLOW_ANSWER_MILLIS = 300;
    /** Half of the 960 descriptors that are not reserved, and those that are accepted or closed at the moment. */
    private static final int MAX_CONNECTIONS = 480 + 64;
    /** Half of the heap: a quarter for all clients, and as much for the process itself. */
    private static final long MAX_LIVE_BYTES = 32 << 20;
    private static final Pattern HELD = Pattern.compile("clients hold (\\d+) of (\\d+) KiB");

    @TempDir
    private Path folder;

    private static String status(long number) {
        return "GET /status/7 HTTP/1.1\r\nHost: x\r\nX-Request-ID: crowd-" + number + "\r\n";
    }

    private static String post(String path, long number, String framing) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: crowd-" + number + "\r\n" + framing + "\r\n";
    }

    private static String partOfUpload() {
        return "ab:\r\n".repeat(UPLOAD_FIELDS) + "\r\n" + "x".repeat(200_000);
    }

    /** Guards against unfinished heads that end with a whole line: they counted in the heap's budget, and none was refused. */
    @Test
    void unfinishedHeadsThatEndWithAWholeLine() throws Exception {
        String fields = "a:\r\n".repeat(UNFINISHED_FIELDS);
        assertCrowdHarmsNobody(number -> status(number) + fields);
    }

    /** Guards against heads of refused uploads, which were held uncounted until their connections had closed. */
    @Test
    void headsOfRefusedUploads() throws Exception {
        String rest = partOfUpload();
        try (ScriptedServer server = startServer();
                GatewayProcess gateway = GatewayProcess.start(folder, DeployedRuntime.environment(), server)) {
            // With more cores, refused clients come and go too fast to be held together.
            gateway.limitToOneCore();
            assertCrowdHarmsNobody(gateway, number -> post("/submit", number, "Content-Length: 2000000") + rest);
        }
    }

    /** Guards against the same where the requests are refused for another reason than the heap. */
    @Test
    void headsOfUploadsThatAreAnsweredAtOnce() throws Exception {
        String rest = partOfUpload();
        assertCrowdHarmsNobody(number -> post("/unknown", number, "Content-Length: 2000000") + rest);
    }

    /** Guards against closed connections that are held by the timers of their close, without a bound on their number. */
    @Test
    void connectionsThatTheirClientsClose() throws Exception {
        try (ScriptedServer server = startServer();
                GatewayProcess gateway = GatewayProcess.start(folder, DeployedRuntime.environment(), server)) {
            try (ClientCrowd crowd = ClientCrowd.start(gateway.address(), CROWD, SHORT_STAY_MILLIS,
                    number -> post("/unknown", number, "Content-Length: 2000000\r\n"))) {
                long held = maxBesideCrowd(gateway,
                        () -> gateway.liveObjects("cinderhollow.http1.DownstreamConnectionManager$Connection"));
                assertTrue(held <= MAX_CONNECTIONS, () -> held + " connections in the heap, " + crowd.connections() + " opened");
            }
        }
    }

    /** Guards against trailers, which nobody needs, that cost as much as heads. */
    @Test
    void trailersOfManyFields() throws Exception {
        String rest = "\r\n1\r\nx\r\n0\r\n" + "a:\r\n".repeat(UNFINISHED_FIELDS);
        assertCrowdHarmsNobody(number -> post("/submit", number, "Transfer-Encoding: chunked") + rest);
    }

    /** Guards against reads whose input has to wait, each of which was larger than its connection's part of the heap. */
    @Test
    void requestsBehindSlowOnes() throws Exception {
        assertCrowdHarmsNobody(number -> {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                requests.append(status(number).replace("crowd", "slow-" + i)).append("\r\n");
            }
            return requests.toString();
        });
    }

    /** Guards against usual requests that wait behind a crowd, each of which has more than its share of work left. */
    @Test
    void bodiesInTinyPieces() throws Exception {
        String pieces = "\r\n" + BodyMemoryTest.chunk("x").repeat(TINY_PIECES);
        assertCrowdHarmsNobody(number -> post("/submit", number, "Transfer-Encoding: chunked") + pieces);
    }

    /** Guards against budgets of several event loops that together are larger than the heap can hold. */
    @Test
    void headsOfRefusedUploadsAtSeveralEventLoops() throws Exception {
        Map<String, String> environment = new HashMap<>(DeployedRuntime.environment());
        environment.put("LB_OPERATOR", Files.writeString(folder.resolve("operator.toml"), "[gateway]\nloops = 3\n").toString());
        String rest = partOfUpload();
        try (ScriptedServer server = startServer(); GatewayProcess gateway = GatewayProcess.start(folder, environment, server)) {
            assertCrowdHarmsNobody(gateway, number -> post("/submit", number, "Content-Length: 2000000") + rest);
        }
    }

    /** Guards against a crowd that is there before the process is. */
    @Test
    void unfinishedHeadsAtAStart() throws Exception {
        Map<String, String> environment = new HashMap<>(DeployedRuntime.environment());
        InetSocketAddress address = new InetSocketAddress(Loopback.processAddress(), Loopback.freePort());
        environment.put("LB_LISTEN", address.getAddress().getHostAddress() + ":" + address.getPort());
        LongFunction<String> input = number -> status(number) + "a:\r\n".repeat(UNFINISHED_FIELDS);
        try (ScriptedServer server = startServer(); ClientCrowd early = ClientCrowd.start(address, CROWD, STAY_MILLIS, input);
                GatewayProcess gateway = GatewayProcess.start(folder, environment, server)) {
            assertTrue(early.connections() > 0);
            assertCrowdHarmsNobody(gateway, input);
        }
    }

    /** A server that takes its time for requests that are to be slow. */
    private static ScriptedServer startServer() throws IOException {
        return new ScriptedServer((socket, request) -> {
            if (request.header("X-Request-ID").startsWith("slow")) {
                ClientCrowd.sleep(SLOW_ANSWER_MILLIS);
            }
            ScriptedServer.reply("200 OK", "served").answer(socket, request);
        });
    }

    private void assertCrowdHarmsNobody(LongFunction<String> input) throws Exception {
        try (ScriptedServer server = startServer();
                GatewayProcess gateway = GatewayProcess.start(folder, DeployedRuntime.environment(), server)) {
            assertCrowdHarmsNobody(gateway, input);
        }
    }

    private static void assertCrowdHarmsNobody(GatewayProcess gateway, LongFunction<String> input) throws Exception {
        InetSocketAddress address = gateway.address();
        try (UsualClients usual = UsualClients.start(address, USUAL_CLIENTS);
                ClientCrowd crowd = ClientCrowd.start(address, CROWD, STAY_MILLIS, input)) {
            long liveBytes = maxBesideCrowd(gateway, gateway::liveHeapBytes);
            assertTrue(crowd.connections() >= CROWD, crowd.connections() + " connections");
            assertTrue(liveBytes <= MAX_LIVE_BYTES, () -> liveBytes + " bytes of heap in use\n" + tail(gateway));
            assertEquals(0, usual.lost(), () -> usual + "\n" + tail(gateway));
            assertTrue(usual.served() > 0, () -> usual + "\n" + tail(gateway));
        }
        try (UsualClients later = UsualClients.start(address, 1)) {
            Await.until("usual requests are served", () -> later.served() >= LATER_REQUESTS);
            assertEquals(0, later.lost(), () -> later + "\n" + tail(gateway));
        }
        assertNoMemoryFault(gateway);
    }

    /** Takes samples from the crowd's first moment on, and returns the largest one. The process must not end meanwhile. */
    private static long maxBesideCrowd(GatewayProcess gateway, Callable<Long> sample) throws Exception {
        long max = 0;
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CROWD_SECONDS);
        while (System.nanoTime() < endNanos) {
            max = Math.max(max, sample.call());
            assertFalse(gateway.waitForExit(HEAP_SAMPLE_INTERVAL_MILLIS), () -> "the process ended by itself\n" + tail(gateway));
        }
        return max;
    }

    private static void assertNoMemoryFault(GatewayProcess gateway) throws IOException {
        assertFalse(gateway.log().contains("OutOfMemoryError"), () -> tail(gateway));
        for (Matcher line = HELD.matcher(gateway.log()); line.find();) {
            assertTrue(Long.parseLong(line.group(1)) <= Long.parseLong(line.group(2)), line.group());
        }
    }

    private static String tail(GatewayProcess gateway) {
        try {
            String log = gateway.log();
            return log.substring(Math.max(0, log.length() - 4_000));
        } catch (IOException e) {
            return e.toString();
        }
    }
}
