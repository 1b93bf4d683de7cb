package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.membership.EndpointList;
import cinderhollow.testing.Await;
import cinderhollow.testing.Loopback;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gateway process that gets SIGTERM while large answers are being passed on. */
class StreamingShutdownTest {
    private static final int SIGTERM_EXIT_CODE = 143;
    /** Longer than the time that a process has to begin its last answers. */
    private static final long LONGEST_SHUTDOWN_MILLIS = 3_600;
    private static final int LARGE_ANSWER_BYTES = 20_000_000, RECEIVE_BUFFER_BYTES = 64 * 1024;
    /** A client reads a large answer in 8 s; a server sends one in 6 s. */
    private static final int READ_BYTES = 250_000, PIECE_BYTES = 20_000, PIECES = 60;
    private static final long INTERVAL_MILLIS = 100;
    /** A body that is passed on as it comes. */
    private static final int LARGE_BODY_BYTES = 150_000;
    /** Longest time without progress on either side of an answer, by which it is ended, and a margin for the check. */
    private static final long SERVER_SILENCE_MILLIS = 10_000, CLIENT_STALL_MILLIS = 20_000, MARGIN_MILLIS = 3_000;

    @TempDir
    private Path folder;

    private static byte[] answerBytes(int length) {
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) ('a' + i % 23);
        }
        return bytes;
    }

    private static void writeHead(OutputStream out, String framing) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** Answers by the first part of the request's id: at once with a length, slowly in chunks, or slowly without a length. */
    private static void answer(Socket socket, Message request) throws IOException {
        OutputStream out = socket.getOutputStream();
        switch (request.header("X-Request-ID").split("-")[0]) {
            case "length" -> {
                writeHead(out, "Content-Length: " + LARGE_ANSWER_BYTES);
                out.write(answerBytes(LARGE_ANSWER_BYTES));
            }
            case "chunks" -> {
                writeHead(out, "Transfer-Encoding: chunked");
                writePieces(out, Integer.toHexString(PIECE_BYTES) + "\r\n", "\r\n");
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            default -> {
                writeHead(out, "Connection: close");
                writePieces(out, "", "");
                socket.close();
            }
        }
    }

    private static void writePieces(OutputStream out, String before, String after) throws IOException {
        byte[] body = answerBytes(PIECES * PIECE_BYTES);
        for (int i = 0; i < PIECES; i++) {
            out.write(before.getBytes(StandardCharsets.US_ASCII));
            out.write(body, i * PIECE_BYTES, PIECE_BYTES);
            out.write(after.getBytes(StandardCharsets.US_ASCII));
            pause();
        }
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Reads an answer of this length, or until the end of the connection, and reports when its head has come. */
    private static byte[] readBody(Client client, int length, CountDownLatch begun) {
        try {
            InputStream in = client.socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int c = in.read();
                if (c < 0) {
                    throw new IOException("no answer: " + head);
                }
                head.append((char) c);
            }
            assertTrue(head.toString().contains("TTP/1.1 200 "), head.toString());
            begun.countDown();
            byte[] body = new byte[length];
            int received = 0;
            for (int n = 1; n > 0 && received < length; received += n) {
                n = in.readNBytes(body, received, Math.min(READ_BYTES, length - received));
                pause();
            }
            return Arrays.copyOf(body, received);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Guards against a process that ends by itself, a fixed time after SIGTERM, while clients read answers that have begun: review/9.
     * Slow readers and slow servers, each framing, one event loop and several, some of which are done before the others.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "[gateway]\nloops = 3\n"})
    void answersThatHaveBegunAreCompletedHoweverLongTheyTake(String operatorFile) throws Exception {
        Map<String, String> environment = operatorFile.isEmpty() ? Map.of()
                : Map.of("LB_OPERATOR", Files.writeString(folder.resolve("operator.toml"), operatorFile).toString());
        try (ScriptedServer server = new ScriptedServer(StreamingShutdownTest::answer);
                GatewayProcess gateway = GatewayProcess.start(folder, environment, server)) {
            int slowBytes = PIECES * PIECE_BYTES;
            // In chunks, the client receives sizes and ends of lines besides the body, so its answer is read as a message.
            List<CompletableFuture<byte[]>> answers = new ArrayList<>();
            CountDownLatch begun = new CountDownLatch(2);
            Client byLength = gateway.connectClient(RECEIVE_BUFFER_BYTES);
            byLength.write(statusRequest("length-1", LONG_TIMEOUT_MILLIS));
            answers.add(CompletableFuture.supplyAsync(() -> readBody(byLength, LARGE_ANSWER_BYTES, begun)));
            Client inChunks = gateway.connectClient();
            inChunks.write(statusRequest("chunks-1", LONG_TIMEOUT_MILLIS));
            CompletableFuture<Message> chunked = CompletableFuture.supplyAsync(() -> readMessage(inChunks));
            Client untilClose = gateway.connectClient();
            untilClose.write(statusRequest("close-1", LONG_TIMEOUT_MILLIS).replace("HTTP/1.1", "HTTP/1.0"));
            answers.add(CompletableFuture.supplyAsync(() -> readBody(untilClose, slowBytes, begun)));
            assertTrue(begun.await(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));

            gateway.signal("TERM");
            assertFalse(gateway.waitForExit(LONGEST_SHUTDOWN_MILLIS + MARGIN_MILLIS / 2), gateway.log());
            assertTrue(Arrays.equals(answerBytes(LARGE_ANSWER_BYTES), answers.get(0).get(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)));
            assertTrue(Arrays.equals(answerBytes(slowBytes), answers.get(1).get(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)));
            assertEquals(new String(answerBytes(slowBytes), StandardCharsets.US_ASCII),
                    chunked.get(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).body());
            for (Client client : List.of(byLength, inChunks, untilClose)) {
                client.socket.close();
            }
            assertTrue(gateway.waitForExit(MARGIN_MILLIS), gateway.log());
            assertEquals(SIGTERM_EXIT_CODE, gateway.exitCode());
            assertFalse(gateway.log().contains("shutdown did not complete"), gateway.log());
        }
    }

    private static Message readMessage(Client client) {
        try {
            return client.read();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Guards against a reset that takes the rest of an answer with it: the gateway has passed on the whole answer and closes, and the
     * client, which reads the rest of it from the system's buffers, sends its next request.
     */
    @Test
    void aRequestSentWhileTheRestOfAnAnswerIsReadDoesNotCutItOff() throws Exception {
        try (ScriptedServer server = new ScriptedServer(StreamingShutdownTest::answer);
                GatewayProcess gateway = GatewayProcess.start(folder, server)) {
            Client client = gateway.connectClient(RECEIVE_BUFFER_BYTES);
            client.write(statusRequest("length-1", LONG_TIMEOUT_MILLIS));
            InputStream in = client.socket.getInputStream();
            int rest = 1_000_000;
            assertEquals(LARGE_ANSWER_BYTES - rest, in.readNBytes(LARGE_ANSWER_BYTES - rest).length);

            gateway.signal("TERM");
            Await.until("idle connections are closed", () -> gateway.log().contains("shutting down, with"));
            pause();
            client.write(statusRequest("length-2", LONG_TIMEOUT_MILLIS));
            pause();
            // The head was read with the first part, so that more than the rest is left.
            assertTrue(in.readAllBytes().length > rest);
            client.socket.close();
            assertTrue(gateway.waitForExit(LONGEST_SHUTDOWN_MILLIS), gateway.log());
        }
    }

    /**
     * Guards against a send that the platform's SIGKILL may cut short: a submit waits behind a large answer until the time in which
     * answers can begin is over. It is refused and reaches no server.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, LARGE_BODY_BYTES})
    void aRequestBehindALargeAnswerIsRefusedOnceItIsTooLateToBegin(int bodyBytes) throws Exception {
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            if (request.header("X-Request-ID").equals("late")) {
                ScriptedServer.reply("200 OK", "done").answer(socket, request);
            } else {
                answer(socket, request);
            }
        });
                GatewayProcess gateway = GatewayProcess.start(folder, server)) {
            Client client = gateway.connectClient(RECEIVE_BUFFER_BYTES);
            client.write(statusRequest("length-1", LONG_TIMEOUT_MILLIS));
            assertTrue(client.socket.getInputStream().read() >= 0);
            gateway.signal("TERM");
            client.write(submitRequest("late", LONG_TIMEOUT_MILLIS, "x".repeat(bodyBytes)));
            assertEquals(LARGE_ANSWER_BYTES, readBody(client, LARGE_ANSWER_BYTES, new CountDownLatch(1)).length);
            String answer = client.read().firstLine();
            assertTrue(answer.contains(" 503 "), answer);
            // The connection of the large answer alone: not even a part of the request has been sent.
            assertEquals(1, server.connections.size());
        }
    }

    /**
     * While a process finishes an answer, the next one listens on its address and serves; the operators' socket answers, a reload is
     * applied, and the ledger finds no breach in an answer that takes longer than a check.
     */
    @Test
    void theNextProcessServesWhileOneFinishesItsAnswers() throws Exception {
        Path operatorFile = Files.writeString(folder.resolve("operator.toml"), "[ledger]\ndirectory = \""
                + Files.createDirectory(folder.resolve("ledger")) + "\"\n");
        String opsAddress = Loopback.processAddress().getHostAddress() + ":" + Loopback.freePort();
        try (ScriptedServer server = new ScriptedServer(StreamingShutdownTest::answer);
                GatewayProcess ending = GatewayProcess.start(folder, Map.of("LB_OPERATOR", operatorFile.toString(), "LB_OPS",
                        opsAddress), server)) {
            Client client = ending.connectClient(RECEIVE_BUFFER_BYTES);
            client.write(statusRequest("length-1", LONG_TIMEOUT_MILLIS));
            CountDownLatch begun = new CountDownLatch(1);
            CompletableFuture<byte[]> answer = CompletableFuture.supplyAsync(() -> readBody(client, LARGE_ANSWER_BYTES, begun));
            assertTrue(begun.await(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            ending.signal("TERM");
            Await.until("the listener is closed", () -> ending.log().contains("shutting down, with"));
            try (GatewayProcess next = GatewayProcess.start(folder, Map.of("LB_LISTEN", ending.addressText()), server)) {
                Client ofNext = next.connectClient();
                ofNext.write(statusRequest("chunks-2", LONG_TIMEOUT_MILLIS));
                CompletableFuture<Message> nextAnswer = CompletableFuture.supplyAsync(() -> readMessage(ofNext));
                ending.signal("HUP");
                Await.until("the reload", () -> ending.log().contains("applied the reloaded configuration"));
                assertTrue(callOps(opsAddress, "stats").contains("\"open_requests\":1"), callOps(opsAddress, "stats"));
                assertEquals(LARGE_ANSWER_BYTES, answer.get(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).length);
                client.socket.close();
                assertTrue(ending.waitForExit(MARGIN_MILLIS), ending.log());
                assertFalse(ending.log().contains("LEDGER BREACH"), ending.log());
                assertEquals(PIECES * PIECE_BYTES, nextAnswer.get(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).body().length());
            }
        }
    }

    private static String callOps(String address, String command) throws IOException {
        InetSocketAddress opsAddress = EndpointList.parseAddress(address);
        try (Socket socket = new Socket(opsAddress.getAddress(), opsAddress.getPort())) {
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** A server that falls silent, and a client that reads nothing, keep a process for as long as an answer may stand still. */
    @Test
    void answersThatStandStillDoNotKeepTheProcess() throws Exception {
        CountDownLatch testOver = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            if (request.header("X-Request-ID").equals("length-1")) {
                answer(socket, request);
            } else {
                writeHead(socket.getOutputStream(), "Content-Length: " + LARGE_ANSWER_BYTES);
                socket.getOutputStream().write(answerBytes(READ_BYTES));
                awaitLong(testOver);
            }
        });
                GatewayProcess gateway = GatewayProcess.start(folder, server)) {
            CountDownLatch begun = new CountDownLatch(1);
            Client ofSilentServer = gateway.connectClient();
            ofSilentServer.write(statusRequest("silent-1", LONG_TIMEOUT_MILLIS));
            CompletableFuture<byte[]> part =
                    CompletableFuture.supplyAsync(() -> readBody(ofSilentServer, LARGE_ANSWER_BYTES, begun));
            assertTrue(begun.await(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            Client readingNothing = gateway.connectClient(RECEIVE_BUFFER_BYTES);
            readingNothing.write(statusRequest("length-1", LONG_TIMEOUT_MILLIS));
            assertTrue(readingNothing.socket.getInputStream().read() >= 0);

            gateway.signal("TERM");
            assertEquals(READ_BYTES, part.get(SERVER_SILENCE_MILLIS + MARGIN_MILLIS, TimeUnit.MILLISECONDS).length);
            assertTrue(gateway.waitForExit(CLIENT_STALL_MILLIS + MARGIN_MILLIS), gateway.log());
            assertEquals(SIGTERM_EXIT_CODE, gateway.exitCode());
        } finally {
            testOver.countDown();
        }
    }

    private static void awaitLong(CountDownLatch latch) throws IOException {
        try {
            latch.await(CLIENT_STALL_MILLIS + 2 * MARGIN_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
