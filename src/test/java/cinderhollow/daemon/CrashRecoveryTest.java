package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.testing.Await;
import cinderhollow.testing.Loopback;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Kills a real process that has hundreds of open requests, and checks what the next process reports. */
class CrashRecoveryTest {
    private static final int REQUEST_COUNT = 300;
    /** Ten minutes, so that no time-out expires during the test. */
    private static final String LONG_TIMEOUT_NANOS = "600000000000";

    @TempDir
    private Path folder;

    private Process startProcess(int port, ScriptedServer server, Path logFile) throws IOException {
        Path journalDirectory = folder.resolve("journal");
        Files.createDirectories(journalDirectory);
        Path operatorFile = Files.writeString(folder.resolve("operator.toml"), "[ledger]\ndirectory = \"" + journalDirectory
                + "\"\n");
        String settings = GatewayFixture.SETTINGS.replace("IDLE", "15000000000").replace("10000000000", LONG_TIMEOUT_NANOS)
                .replace("20000000000", LONG_TIMEOUT_NANOS);
        Path config = Files.writeString(folder.resolve("config.json"), "{\"seed\":\"1\",\"limits\":{\"sockets\":2048},"
                + "\"known\":" + GatewayFixture.endpointListJson(1, true,
                List.of(GatewayFixture.endpointJson("s", server, "up", 0)))
                + ",\"settings\":" + settings + "}");
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "cinderhollow.cli.Main", "serve")
                .redirectErrorStream(true).redirectOutput(logFile.toFile());
        builder.environment().putAll(Map.of("LB_LISTEN", Loopback.processAddress().getHostAddress() + ":" + port,
                "LB_DISCOVERY", "127.0.0.1:1",
                "LB_CONFIG", config.toString(), "LB_OPERATOR", operatorFile.toString()));
        return builder.start();
    }

    private static boolean isListening(Process process, int port) {
        try {
            assertTrue(process.isAlive());
            new Socket(Loopback.processAddress(), port).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private Set<String> readOrphanIds() throws IOException {
        Set<String> ids = new HashSet<>();
        EarlierRuns.read(folder.resolve("journal"), List.of(0)).orphans().forEach(orphan -> ids.add(orphan.id()));
        return ids;
    }

    @Test
    void theNextProcessReportsExactlyTheRequestsOpenAtTheKill() throws Exception {
        int port = Loopback.freePort();
        List<Socket> clients = new ArrayList<>();
        try (ScriptedServer server = new ScriptedServer((socket, request) -> { })) {
            Process first = startProcess(port, server, folder.resolve("first.log"));
            Process second = null;
            try {
                Await.until("the first life", () -> isListening(first, port));
                Set<String> expectedIds = new HashSet<>();
                for (int i = 0; i < REQUEST_COUNT; i++) {
                    Socket client = new Socket(Loopback.processAddress(), port);
                    clients.add(client);
                    ScriptedServer.write(client, submitRequest("kill-" + i, 600_000, "x"));
                    expectedIds.add("kill-" + i);
                }
                Await.until("the journal has them all", () -> readOrphanIds().size() == REQUEST_COUNT);
                first.destroyForcibly().waitFor();
                assertEquals(expectedIds, readOrphanIds());
                second = startProcess(port, server, folder.resolve("second.log"));
                Process next = second;
                Await.until("the second life", () -> isListening(next, port));
                String logText = Files.readString(folder.resolve("second.log"));
                assertTrue(logText.contains(REQUEST_COUNT + " requests were open when the last run ended, and may have run: "),
                        logText);
                Set<String> listedIds = new HashSet<>();
                Files.readAllLines(folder.resolve("journal").resolve(EarlierRuns.ORPHANS_FILE))
                        .forEach(line -> listedIds.add(line.split("\t")[0]));
                assertEquals(expectedIds, listedIds);
            } finally {
                first.destroyForcibly();
                if (second != null) {
                    second.destroyForcibly().waitFor(60, TimeUnit.SECONDS);
                }
                for (Socket client : clients) {
                    client.close();
                }
            }
        }
    }
}
