package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.submit;
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
class KilledTest {
    private static final int REQUESTS = 300;
    /** Ten minutes, so that no time-out expires during the test. */
    private static final String LONG = "600000000000";

    @TempDir
    private Path folder;

    private Process start(int port, ScriptedHost host, Path out) throws IOException {
        Path journal = folder.resolve("journal");
        Files.createDirectories(journal);
        Path operator = Files.writeString(folder.resolve("operator.toml"), "[ledger]\ndirectory = \"" + journal + "\"\n");
        String settings = GatewayFixture.SETTINGS.replace("IDLE", "15000000000").replace("10000000000", LONG)
                .replace("20000000000", LONG);
        Path config = Files.writeString(folder.resolve("config.json"), "{\"seed\":\"1\",\"limits\":{\"sockets\":2048},"
                + "\"known\":" + GatewayFixture.list(1, true, List.of(GatewayFixture.entry("s", host, "up", 0)))
                + ",\"settings\":" + settings + "}");
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "cinderhollow.cli.Main", "serve")
                .redirectErrorStream(true).redirectOutput(out.toFile());
        builder.environment().putAll(Map.of("LB_LISTEN", Loopback.processAddress().getHostAddress() + ":" + port, "LB_DISCOVERY", "127.0.0.1:1",
                "LB_CONFIG", config.toString(), "LB_OPERATOR", operator.toString()));
        return builder.start();
    }

    private static boolean listens(Process process, int port) {
        try {
            assertTrue(process.isAlive());
            new Socket(Loopback.processAddress(), port).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private Set<String> orphans() throws IOException {
        Set<String> ids = new HashSet<>();
        EarlierRuns.read(folder.resolve("journal"), List.of(0)).orphans().forEach(orphan -> ids.add(orphan.id()));
        return ids;
    }

    @Test
    void theNextLifeNamesExactlyWhatWasOpenAtTheKill() throws Exception {
        int port = Loopback.freePort();
        List<Socket> clients = new ArrayList<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> { })) {
            Process first = start(port, host, folder.resolve("first.log"));
            Process second = null;
            try {
                Await.until("the first life", () -> listens(first, port));
                Set<String> expected = new HashSet<>();
                for (int i = 0; i < REQUESTS; i++) {
                    Socket client = new Socket(Loopback.processAddress(), port);
                    clients.add(client);
                    ScriptedHost.write(client, submit("kill-" + i, 600_000, "x"));
                    expected.add("kill-" + i);
                }
                Await.until("the journal has them all", () -> orphans().size() == REQUESTS);
                first.destroyForcibly().waitFor();
                assertEquals(expected, orphans());
                second = start(port, host, folder.resolve("second.log"));
                Process next = second;
                Await.until("the second life", () -> listens(next, port));
                String told = Files.readString(folder.resolve("second.log"));
                assertTrue(told.contains(REQUESTS + " requests were open when the last run ended, and may have run: "), told);
                Set<String> listed = new HashSet<>();
                Files.readAllLines(folder.resolve("journal").resolve(EarlierRuns.ORPHANS_FILE))
                        .forEach(line -> listed.add(line.split("\t")[0]));
                assertEquals(expected, listed);
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
