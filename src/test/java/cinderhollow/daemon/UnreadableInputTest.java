package cinderhollow.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send input at full speed which no request can be made of: other clients' requests are still answered in time. */
class UnreadableInputTest {
    private static final int CLIENTS = 8, BLOCK_BYTES = 64 * 1024;
    /** Rounds of usual requests, and the pause between them: together some seconds of the flood. */
    private static final int ROUNDS = 5;
    private static final long ROUND_PAUSE_MILLIS = 400;

    @TempDir
    private Path folder;

    /** Sends the first part once and then the block without a pause, on a new connection whenever the gateway has ended one. */
    private static void startFlood(GatewayProcess gateway, String first, String unit, AtomicBoolean ended) {
        byte[] block = unit.repeat(BLOCK_BYTES / unit.length()).getBytes(StandardCharsets.UTF_8);
        BodyMemoryTest.startDaemonThread(() -> {
            while (!ended.get()) {
                try {
                    OutputStream out = gateway.connectClient().socket.getOutputStream();
                    out.write(first.getBytes(StandardCharsets.UTF_8));
                    while (!ended.get()) {
                        out.write(block);
                    }
                } catch (IOException e) {
                    // The gateway has ended the connection.
                    Thread.onSpinWait();
                }
            }
        });
    }

    private void assertUsualRequestsAreServedBeside(String first, String unit) throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayProcess gateway = GatewayProcess.start(folder, BodyMemoryTest.SMALL_MEMORY, server)) {
            for (int i = 0; i < CLIENTS; i++) {
                startFlood(gateway, first, unit, ended);
            }
            for (int round = 0; round < ROUNDS; round++) {
                TimeUnit.MILLISECONDS.sleep(ROUND_PAUSE_MILLIS);
                BodyMemoryTest.assertUsualRequestsAreServed(gateway);
            }
        } finally {
            ended.set(true);
        }
    }

    /** Guards against input behind an unreadable request that is read and discarded without a poll of the sockets. */
    @ParameterizedTest
    @ValueSource(strings = {"X-Pad: aaaaaaaaaaaaaaaaaaaa\r\n", "aaaaaaaaaaaaaaaa"})
    void headsWithoutAnEndHoldUpNobody(String unit) throws Exception {
        assertUsualRequestsAreServedBeside("GET /status/1 HTTP/1.1\r\nHost: x\r\n", unit);
    }

    /** Guards against the same by input that begins no request. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "\0\1\2", "noise\r\n"})
    void inputThatBeginsNoRequestHoldsUpNobody(String unit) throws Exception {
        assertUsualRequestsAreServedBeside("", unit);
    }

    /** Guards against the same by input behind a request that waits until it is known whether its client has left. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "noise\r\n"})
    void inputBehindARequestHoldsUpNobody(String unit) throws Exception {
        assertUsualRequestsAreServedBeside(GatewayFixture.statusRequest("ahead", GatewayFixture.LONG_TIMEOUT_MILLIS), unit);
    }

    /** Guards against the same by a body whose end cannot be read. */
    @Test
    void unreadableBodiesHoldUpNobody() throws Exception {
        assertUsualRequestsAreServedBeside("POST /submit HTTP/1.1\r\nX-Request-ID: flood\r\nTransfer-Encoding: chunked\r\n\r\n", "zz\r\n");
    }
}
