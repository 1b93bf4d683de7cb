package cinderhollow.lab;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Determines from the growing logs when each gateway left the faulty zone. Not thread-safe. */
final class Leaves {
    private final Path folder;
    private final long[] read;
    private final Map<Integer, Long> left = new HashMap<>();
    private int elsewhere;
    private String zone = "";
    private long since;

    Leaves(Path folder, int gateways) {
        this.folder = folder;
        read = new long[gateways];
    }

    /** Notes that a fault of this zone begins now. */
    void begins(String name) {
        zone = name;
        since = System.nanoTime();
    }

    /** Reads the complete lines that have been added to the logs. */
    void look() {
        for (int i = 0; i < read.length; i++) {
            Path log = folder.resolve(Names.gateway(i) + ".log");
            if (!Files.exists(log)) {
                continue;
            }
            try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
                byte[] more = new byte[(int) Math.max(0, file.length() - read[i])];
                file.seek(read[i]);
                file.readFully(more);
                String text = new String(more, StandardCharsets.UTF_8);
                int whole = text.lastIndexOf('\n') + 1;
                read[i] += text.substring(0, whole).getBytes(StandardCharsets.UTF_8).length;
                for (String line : text.substring(0, whole).split("\n")) {
                    see(i, line);
                }
            } catch (IOException e) {
                // The log is read again next time.
                return;
            }
        }
    }

    /** Evaluates a log line, if it says that a zone is left. */
    private void see(int gateway, String line) {
        boolean leaves = line.contains("phase=leaving") || line.contains("phase=out") || line.contains("avoided by this gateway");
        if (!leaves || !line.contains("zone=")) {
            return;
        }
        if (line.contains("zone=" + zone + " ") && !zone.isEmpty()) {
            left.putIfAbsent(gateway, System.nanoTime() - since);
        } else {
            elsewhere++;
        }
    }

    /** Returns the number of gateways that left the faulty zone and their delays, for people. */
    @Override
    public String toString() {
        List<Long> times = left.values().stream().sorted().toList();
        if (times.isEmpty()) {
            return "left by nobody of " + read.length;
        }
        int n = times.size();
        return String.format(Locale.ROOT, "left by %d of %d gateways after %.2f s (median), %.2f s (95 of 100), %.2f s (last); "
                + "%d leaves of zones without trouble", n, read.length, times.get(n / 2) / 1e9,
                times.get((n - 1) * 95 / 100) / 1e9, times.get(n - 1) / 1e9, elsewhere);
    }
}
