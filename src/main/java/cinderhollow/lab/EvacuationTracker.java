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
final class EvacuationTracker {
    private final Path folder;
    private final long[] logOffsets;
    private final Map<Integer, Long> leaveDelaysNanos = new HashMap<>();
    private int unrelatedLeaves;
    private String faultyZone = "";
    private long faultStartNanos;

    EvacuationTracker(Path folder, int gateways) {
        this.folder = folder;
        logOffsets = new long[gateways];
    }

    /** Notes that a fault of this zone begins now. */
    void onZoneFault(String zoneName) {
        faultyZone = zoneName;
        faultStartNanos = System.nanoTime();
    }

    /** Reads the complete lines that have been added to the logs. */
    void readLogs() {
        for (int i = 0; i < logOffsets.length; i++) {
            Path log = folder.resolve(LabNames.gatewayName(i) + ".log");
            if (!Files.exists(log)) {
                continue;
            }
            try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
                byte[] newBytes = new byte[(int) Math.max(0, file.length() - logOffsets[i])];
                file.seek(logOffsets[i]);
                file.readFully(newBytes);
                String text = new String(newBytes, StandardCharsets.UTF_8);
                int completeLength = text.lastIndexOf('\n') + 1;
                logOffsets[i] += text.substring(0, completeLength).getBytes(StandardCharsets.UTF_8).length;
                for (String line : text.substring(0, completeLength).split("\n")) {
                    parseLine(i, line);
                }
            } catch (IOException e) {
                // The log is read again next time.
                return;
            }
        }
    }

    /** Evaluates a log line, if it says that a zone is left. */
    private void parseLine(int gateway, String line) {
        boolean isLeave = line.contains("phase=leaving") || line.contains("phase=out")
                || line.contains("avoided by this gateway");
        if (!isLeave || !line.contains("zone=")) {
            return;
        }
        if (line.contains("zone=" + faultyZone + " ") && !faultyZone.isEmpty()) {
            leaveDelaysNanos.putIfAbsent(gateway, System.nanoTime() - faultStartNanos);
        } else {
            unrelatedLeaves++;
        }
    }

    /** Returns the number of gateways that left the faulty zone and their delays, for people. */
    @Override
    public String toString() {
        List<Long> sortedDelaysNanos = leaveDelaysNanos.values().stream().sorted().toList();
        if (sortedDelaysNanos.isEmpty()) {
            return "left by nobody of " + logOffsets.length;
        }
        int n = sortedDelaysNanos.size();
        return String.format(Locale.ROOT, "left by %d of %d gateways after %.2f s (median), %.2f s (95 of 100), %.2f s (last); "
                + "%d leaves of zones without trouble", n, logOffsets.length, sortedDelaysNanos.get(n / 2) / 1e9,
                sortedDelaysNanos.get((n - 1) * 95 / 100) / 1e9, sortedDelaysNanos.get(n - 1) / 1e9, unrelatedLeaves);
    }
}
