package cinderhollow.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Measures the CPU time of a gateway's start until it is ready, of one command or of two in alternating runs. */
public final class StartupBenchmark {
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 10;

    private StartupBenchmark() { }

    /** Starts each command {@code runs} times in its folder by {@code /bin/sh}; {@code other} may be null. Returns the result. */
    public static String compare(String command, Path folder, String other, Path otherFolder, int runs)
            throws IOException, InterruptedException {
        if (runs < 1 || runs > 200) {
            throw new IllegalArgumentException("the number of runs must be 1 to 200");
        }
        List<Double> firstSeconds = new ArrayList<>();
        List<Double> otherSeconds = new ArrayList<>();
        List<Double> ratios = new ArrayList<>();
        // The first pair fills the machine's file cache and is not counted.
        for (int i = 0; i <= runs; i++) {
            double a = measureCpuSeconds(command, folder);
            double b = other == null ? a : measureCpuSeconds(other, otherFolder);
            if (i > 0) {
                firstSeconds.add(a);
                otherSeconds.add(b);
                ratios.add(a / b);
            }
        }
        String summary = "CPU to /ready: " + formatSpread(firstSeconds) + " s";
        return other == null ? summary : summary + ", the other: " + formatSpread(otherSeconds) + " s, ratio pair by pair: "
                + formatSpread(ratios);
    }

    private static String formatSpread(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return String.format(Locale.ROOT, "median %.3f (%.3f to %.3f)", sorted.get(sorted.size() / 2), sorted.get(0),
                sorted.get(sorted.size() - 1));
    }

    private static double measureCpuSeconds(String command, Path folder) throws IOException, InterruptedException {
        Path tempFolder = Files.createTempDirectory("cinderhollow-start");
        int port = Ports.allocate();
        Path config = tempFolder.resolve("config.json");
        Files.writeString(config, StandInDiscovery.toJson(Map.of("seed", "2a", "limits", Map.of("sockets", 1024),
                "settings", FleetConfig.withDefaults(9, 3, 1, 1, 1).settings(0))));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(folder.toFile())
                .redirectErrorStream(true).redirectOutput(tempFolder.resolve("log").toFile());
        // Nothing listens on this port: the gateway counts a failed call to discovery as done, and becomes ready.
        builder.environment().putAll(Map.of("LB_NAME", "start", "LB_LISTEN", "127.0.0.1:" + port, "LB_DISCOVERY",
                "127.0.0.1:1", "LB_CONFIG", config.toString(), "TMPDIR", tempFolder.toString()));
        Process process = builder.start();
        try {
            long deadlineNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
            while (!Lab.isReady("127.0.0.1:" + port)) {
                if (!process.isAlive() || System.nanoTime() > deadlineNanos) {
                    throw new IOException("the gateway did not become ready: " + Files.readString(tempFolder.resolve("log")));
                }
                TimeUnit.MILLISECONDS.sleep(5);
            }
            return process.info().totalCpuDuration().orElseThrow().toNanos() / 1e9;
        } finally {
            process.destroy();
            if (!process.waitFor(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
            Lab.deleteFolder(tempFolder);
        }
    }
}
