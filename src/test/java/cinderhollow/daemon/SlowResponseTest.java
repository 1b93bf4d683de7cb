package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Servers that send the head of a large response in time, and its body slowly: the response is passed on whole. */
class SlowResponseTest {
    private static final int CLIENT_TIMEOUT_MILLIS = 300, REQUESTS = 8;
    /** Pause before each part of the body but the first, longer than the client's time. */
    private static final long PART_PAUSE_MILLIS = 400;
    private static final int MANY_REQUESTS = 36;
    private static final long REQUEST_INTERVAL_MILLIS = 60;
    private static final int LATER_PARTS = 3, PART_BYTES = 50_000;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    @TempDir
    private Path folder;

    @AfterEach
    void endThreads() {
        threads.shutdownNow();
    }

    private enum Framing { CHUNKED, CLOSE, LENGTH }

    /** Answers with a first part of the body together with the head, and with the rest in parts that come later. */
    private static ScriptedServer.Script answerSlowly(Framing framing, int firstBytes) {
        int length = firstBytes + LATER_PARTS * PART_BYTES;
        return (socket, request) -> {
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\n" + switch (framing) {
                case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n";
                case CLOSE -> "Connection: close\r\n\r\n";
                case LENGTH -> "Content-Length: " + length + "\r\n\r\n";
            } + (firstBytes == 0 ? "" : part(framing, firstBytes)));
            for (int i = 0; i < LATER_PARTS; i++) {
                pause();
                ScriptedServer.write(socket, part(framing, PART_BYTES));
            }
            end(framing, socket);
        };
    }

    private static String part(Framing framing, int bytes) {
        String data = "x".repeat(bytes);
        return framing == Framing.CHUNKED ? BodyMemoryTest.chunk(data) : data;
    }

    private static void end(Framing framing, Socket socket) throws IOException {
        if (framing == Framing.CHUNKED) {
            ScriptedServer.write(socket, "0\r\n\r\n");
        } else if (framing == Framing.CLOSE) {
            socket.close();
        }
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(PART_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Guards against an answer that is held until more of it comes, and timed out while its server is still sending it. */
    @ParameterizedTest
    @CsvSource({"CHUNKED, 8000", "CLOSE, 8000", "LENGTH, 8000", "CHUNKED, 0", "CLOSE, 0", "LENGTH, 0", "CHUNKED, 1", "CLOSE, 60000"})
    void aSlowResponseWhoseHeadCameInTimeIsPassedOnWhole(Framing framing, int firstBytes) throws Exception {
        try (ScriptedServer server = new ScriptedServer(answerSlowly(framing, firstBytes));
                GatewayProcess gateway = GatewayProcess.start(folder, server)) {
            for (int i = 0; i < REQUESTS; i++) {
                Client client = gateway.connectClient();
                Message answer = client.exchange(i % 2 == 0 ? statusRequest("r" + i, CLIENT_TIMEOUT_MILLIS)
                        : submitRequest("r" + i, CLIENT_TIMEOUT_MILLIS, "x"));
                assertNotNull(answer, gateway.log());
                assertEquals("HTTP/1.1 200 OK", answer.firstLine(), "request " + i + gateway.log());
                assertEquals(firstBytes + LATER_PARTS * PART_BYTES, answer.body().length(), "request " + i);
            }
            assertEquals(REQUESTS, server.requests.size(), "each was sent once");
        }
    }

    /**
     * Guards against servers that are rated as silent because their responses are long: most requests were refused at once. The
     * aim is below the pauses of the servers. By the platform's rule at least half of such responses are passed on; those that
     * are not must be refused, and not fail.
     */
    @ParameterizedTest
    @CsvSource({"CHUNKED, 8000", "CLOSE, 8000", "CHUNKED, 0", "CLOSE, 0", "LENGTH, 0"})
    void slowResponsesToManyRequestsArePassedOn(Framing framing, int firstBytes) throws Exception {
        ScriptedServer.Script script = answerSlowly(framing, firstBytes);
        try (ScriptedServer first = new ScriptedServer(script); ScriptedServer second = new ScriptedServer(script);
                ScriptedServer third = new ScriptedServer(script);
                GatewayProcess gateway = GatewayProcess.start(folder, SlowResponseTest::withShortAim, first, second, third)) {
            List<CompletableFuture<Message>> answers = new ArrayList<>();
            for (int i = 0; i < MANY_REQUESTS; i++) {
                String request = statusRequest("r" + i, CLIENT_TIMEOUT_MILLIS);
                answers.add(CompletableFuture.supplyAsync(() -> exchange(gateway, request), threads));
                TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
            }
            int passedOn = 0;
            for (CompletableFuture<Message> answer : answers) {
                Message message = answer.get(GatewayFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                boolean served = message.firstLine().contains(" 200 ");
                assertTrue(served || message.firstLine().contains(" 503 "), message.firstLine() + gateway.log());
                if (served) {
                    passedOn++;
                    assertEquals(firstBytes + LATER_PARTS * PART_BYTES, message.body().length(), gateway.log());
                }
            }
            assertTrue(passedOn >= MANY_REQUESTS / 2, passedOn + " of " + MANY_REQUESTS + " passed on" + gateway.log());
            assertFalse(gateway.log().contains(" is silent: "), gateway.log());
        }
    }

    private static String withShortAim(String settings) {
        return settings.replace("\"aim_ns\":10000000000", "\"aim_ns\":150000000");
    }

    private static Message exchange(GatewayProcess gateway, String request) {
        try {
            return gateway.connectClient().exchange(request);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
