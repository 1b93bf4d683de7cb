package cinderhollow.lab;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Counts how requests ended, and records the latencies of the served ones. Not thread-safe: one thread owns each instance. */
final class Tally {
    private static final long LONGEST_MICROS = TimeUnit.SECONDS.toMicros(60);
    private static final int DIGITS = 2;

    long asked;
    long served;
    long inAim;
    long refused;
    long failed;
    long left;
    long broken;
    long retries;
    private final Histogram micros = new Histogram(LONGEST_MICROS, DIGITS);

    /** Counts a served request with its latency, and whether that was within its aim. */
    void served(long nanos, boolean aimKept) {
        served++;
        inAim += aimKept ? 1 : 0;
        micros.recordValue(Math.min(LONGEST_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
    }

    /** Returns this percentile of the served requests' latency in milliseconds, or 0 if none was served. */
    double millis(double percentile) {
        return micros.getTotalCount() == 0 ? 0 : micros.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Sets all counts to 0 and clears the latencies. */
    void reset() {
        asked = 0;
        served = 0;
        inAim = 0;
        refused = 0;
        failed = 0;
        left = 0;
        broken = 0;
        retries = 0;
        micros.reset();
    }

    /** Returns the figures by their names in the JSON report. */
    Map<String, Object> row() {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("asked", asked);
        row.put("served", served);
        row.put("in_aim", inAim);
        row.put("refused", refused);
        row.put("failed", failed);
        row.put("left", left);
        row.put("broken", broken);
        row.put("retries", retries);
        row.put("p50_ms", millis(50));
        row.put("p99_ms", millis(99));
        return row;
    }
}
