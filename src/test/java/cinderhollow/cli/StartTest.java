package cinderhollow.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.testing.Await;
import cinderhollow.testing.Loopback;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the start of {@code serve}: it must load no class of the other commands, which would make the start slower. */
class StartTest {
    private static final String CONFIG = """
            {"seed":"1","limits":{"sockets":1024},"settings":{"group_size":1,"my_number":0,"discovery":"subscribe",
            "resolution_ns":1000000,"grades":[{"name":"status","semantics":"safe","aim_ns":100000000,
            "deadline_ns":300000000}],"allowed":{"dial_timeout_ns":50000000,"conn_idle_ns":15000000000},
            "obligations":{"drain_grace_ns":1000000000}}}""";

    /** Runs {@code serve} until it is ready, ends it, and returns its output. */
    private static String runServe(Path folder, List<String> commandPrefix, List<String> javaOptions) throws Exception {
        Path configFile = Files.writeString(folder.resolve("config.json"), CONFIG);
        Path logFile = folder.resolve("out.log");
        int port = Loopback.freePort();
        String address = Loopback.processAddress().getHostAddress() + ":" + port;
        List<String> command = new ArrayList<>(commandPrefix);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(javaOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "cinderhollow.cli.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(logFile.toFile());
        builder.environment().putAll(Map.of("LB_LISTEN", address, "LB_DISCOVERY", "127.0.0.1:1",
                "LB_CONFIG", configFile.toString()));
        Process process = builder.start();
        try {
            Await.until("ready", () -> {
                assertTrue(process.isAlive(), Files.readString(logFile));
                return isReady(address);
            });
        } finally {
            process.destroy();
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        }
        return Files.readString(logFile);
    }

    @Test
    void aStartWithIgnoredSighupLogsThatReloadsHaveNoEffect(@TempDir Path folder) throws Exception {
        List<String> ignoringSighup = List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
        assertTrue(runServe(folder, ignoringSighup, List.of()).contains("SIGHUP is ignored"));
        assertFalse(runServe(folder, List.of(), List.of()).contains("SIGHUP"));
    }

    @Test
    void serveLoadsNoClassOfTheLabOrOfTheCommandLine(@TempDir Path folder) throws Exception {
        Path classes = folder.resolve("classes.log");
        runServe(folder, List.of(), List.of("-Xlog:class+load:file=" + classes));
        List<String> lines = Files.readAllLines(classes);
        assertTrue(lines.stream().anyMatch(line -> line.contains("cinderhollow.daemon.Gateway ")));
        assertEquals(List.of(), lines.stream().filter(line -> line.contains("picocli.")
                || line.contains("cinderhollow.lab.") || line.contains("cinderhollow.emulator.")
                || line.contains("cinderhollow.cli.Commands")
                || line.contains("HdrHistogram") || line.contains("tomlj") || line.contains("antlr")
                || line.contains("cinderhollow.ledger.") || line.contains("cinderhollow.ops.")
                || line.contains("cinderhollow.handover.") || line.contains("cinderhollow.daemon.Handover")
                || line.contains("cinderhollow.daemon.InheritedListener")
                || line.contains("cinderhollow.core.RequestCounters")
                || line.contains("cinderhollow.daemon.Admin") || line.contains("cinderhollow.daemon.Journal")
                || line.contains("cinderhollow.daemon.EarlierRuns") || line.contains(" org.jctools.")
                || line.contains("cinderhollow.peers.") || line.contains("cinderhollow.evacuation.")
                || line.contains("cinderhollow.daemon.PeerTransport") || line.contains("cinderhollow.daemon.Peering")
                || line.contains("cinderhollow.operator.") || line.contains("cinderhollow.daemon.OperatorConfigLoader")
                || line.contains("cinderhollow.routes.") && !line.contains("cinderhollow.routes.Paths ")).toList());
    }

    private static boolean isReady(String address) {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create("http://" + address + "/ready").toURL()
                    .openConnection();
            return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }
}
