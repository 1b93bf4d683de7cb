package cinderhollow.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.testing.Await;
import cinderhollow.testing.Loopback;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Sends signals to a gateway process that has a request in flight. */
class SignalsTest {
    private static final int TIMEOUT_MILLIS = 60_000, SIGTERM_EXIT_CODE = 143, PARTIAL_BODY_BYTES = 100_000;
    private static final String CONFIG = """
            {"seed":"1","limits":{"sockets":1024},"known":{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":"HOST",
            "zone":"a","type":"t","group":0,"status":"up","weight":1.0,"since_ms":0}]},"discovery":"127.0.0.1:1",
            "settings":{"group_size":1,"my_number":0,"zone":"a","discovery":"subscribe",
            "resolution_ns":1000000,"grades":[{"name":"order","semantics":"unsafe","aim_ns":1000000000,
            "deadline_ns":60000000000}],"allowed":{"max_attempts":3,"dial_timeout_ns":2000000000,"conn_idle_ns":15000000000},
            "obligations":{"drain_grace_ns":1000000000}}}""";

    private static Socket withTimeout(Socket socket) throws Exception {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static String firstLine(Socket socket) throws Exception {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)).readLine();
    }

    private static boolean isReady(int port, String status) {
        try (Socket socket = withTimeout(new Socket(Loopback.processAddress(), port))) {
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String line = firstLine(socket);
            return line != null && line.contains(status);
        } catch (Exception e) {
            return false;
        }
    }

    /** A second SIGTERM and a SIGHUP during a shutdown must neither cut off the request in flight nor change the exit code. */
    @Test
    void aSecondSigtermAndASighupDoNotDisturbTheShutdown(@TempDir Path folder) throws Exception {
        int port = Loopback.freePort();
        Path logFile = folder.resolve("out.log");
        try (ServerSocket upstreamListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            upstreamListener.setSoTimeout(TIMEOUT_MILLIS);
            Process process = start(folder, port, upstreamListener, logFile);
            try (Socket client = withTimeout(connectWhenReady(process, port, logFile))) {
                client.getOutputStream().write(("POST /order HTTP/1.1\r\nHost: x\r\nX-Request-ID: r\r\nX-Timeout: 60000m\r\n"
                        + "Content-Length: 1\r\n\r\nx").getBytes(StandardCharsets.US_ASCII));
                try (Socket upstreamSocket = withTimeout(upstreamListener.accept())) {
                    assertNotNull(firstLine(upstreamSocket));
                    process.destroy();
                    Await.until("start of the shutdown", () -> !isReady(port, " 200 "));
                    process.destroy();
                    assertEquals(0, new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor());
                    upstreamSocket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
                    String answer = firstLine(client);
                    // On a machine so slow that the shutdown's time limit has passed, the gateway itself answers 502.
                    assertTrue(answer != null && (answer.contains(" 200 ") || answer.contains(" 502 ")), answer
                            + Files.readString(logFile));
                }
                assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
                assertEquals(SIGTERM_EXIT_CODE, process.exitValue());
                assertEquals(List.of(), Files.readAllLines(logFile).stream().filter(l -> l.contains("requests may be unanswered")).toList());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** HTTP/1.0 clients take the close of the connection as the end of the answer, so a killed process must cause a reset. */
    @Test
    void aKillResetsAConnectionWhoseAnswerIsIncomplete(@TempDir Path folder) throws Exception {
        int port = Loopback.freePort();
        Path logFile = folder.resolve("out.log");
        try (ServerSocket upstreamListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            upstreamListener.setSoTimeout(TIMEOUT_MILLIS);
            Process process = start(folder, port, upstreamListener, logFile);
            try (Socket client = withTimeout(connectWhenReady(process, port, logFile))) {
                client.getOutputStream().write(("POST /order HTTP/1.0\r\nHost: x\r\nX-Request-ID: r\r\nX-Timeout: 60000m\r\n"
                        + "Content-Length: 1\r\n\r\nx").getBytes(StandardCharsets.US_ASCII));
                try (Socket upstreamSocket = withTimeout(upstreamListener.accept())) {
                    assertNotNull(firstLine(upstreamSocket));
                    upstreamSocket.getOutputStream()
                            .write(("HTTP/1.1 200 OK\r\n\r\n" + "y".repeat(PARTIAL_BODY_BYTES))
                            .getBytes(StandardCharsets.US_ASCII));
                    assertEquals(PARTIAL_BODY_BYTES, client.getInputStream().readNBytes(PARTIAL_BODY_BYTES).length);
                    process.destroyForcibly();
                    assertThrows(SocketException.class, () -> client.getInputStream().readAllBytes());
                }
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static Process start(Path folder, int port, ServerSocket upstreamListener, Path logFile) throws IOException {
        Path configFile = Files.writeString(folder.resolve("config.json"),
                CONFIG.replace("HOST", "127.0.0.1:" + upstreamListener.getLocalPort()));
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "cinderhollow.cli.Main", "serve").redirectErrorStream(true)
                .redirectOutput(logFile.toFile());
        builder.environment().putAll(Map.of("LB_LISTEN", Loopback.processAddress().getHostAddress() + ":" + port, "LB_DISCOVERY",
                "127.0.0.1:1", "LB_CONFIG", configFile.toString()));
        return builder.start();
    }

    private static Socket connectWhenReady(Process process, int port, Path logFile) throws Exception {
        Await.until("ready", () -> {
            assertTrue(process.isAlive(), Files.readString(logFile));
            return isReady(port, " 200 ");
        });
        return new Socket(Loopback.processAddress(), port);
    }
}
