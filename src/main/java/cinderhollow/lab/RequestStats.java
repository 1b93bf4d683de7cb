package cinderhollow.lab;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Counts how requests ended, and records the latencies of the served ones. Not thread-safe: one thread owns each instance. */
final class RequestStats {
    private static final long MAX_LATENCY_MICROS = TimeUnit.SECONDS.toMicros(60);
    private static final int HISTOGRAM_DIGITS = 2;

    long requests;
    long served;
    long inAim;
    long refused;
    long failed;
    long abandoned;
    long unanswered;
    long retries;
    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS);

    /** Counts a served request with its latency, and whether that was within its aim. */
    void recordServed(long latencyNanos, boolean inTime) {
        served++;
        inAim += inTime ? 1 : 0;
        latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, TimeUnit.NANOSECONDS.toMicros(latencyNanos)));
    }

    /** Returns this percentile of the served requests' latency in milliseconds, or 0 if none was served. */
    double latencyMillis(double percentile) {
        return latencyMicros.getTotalCount() == 0 ? 0 : latencyMicros.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Sets all counts to 0 and clears the latencies. */
    void reset() {
        requests = 0;
        served = 0;
        inAim = 0;
        refused = 0;
        failed = 0;
        abandoned = 0;
        unanswered = 0;
        retries = 0;
        latencyMicros.reset();
    }

    /** Returns the figures by their names in the JSON report. */
    Map<String, Object> toMap() {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("asked", requests);
        row.put("served", served);
        row.put("in_aim", inAim);
        row.put("refused", refused);
        row.put("failed", failed);
        row.put("left", abandoned);
        row.put("broken", unanswered);
        row.put("retries", retries);
        row.put("p50_ms", latencyMillis(50));
        row.put("p99_ms", latencyMillis(99));
        return row;
    }
}
