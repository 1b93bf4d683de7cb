package cinderhollow.lifecycle;

import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Logs a sample of the log lines of one kind: the first 20, and from then on every hundredth, so that the log does not grow with
 * the traffic. Used by the thread of one event loop only.
 */
public final class SampledLog {
    private static final long FIRST_LOGGED_COUNT = 20;
    private static final long SAMPLING_INTERVAL = 100;

    private final Consumer<String> log;
    private long count;

    /** Creates a log that passes its lines to {@code log}. */
    public SampledLog(Consumer<String> log) {
        this.log = log;
    }

    /** Counts one occurrence and logs it if it belongs to the sample; only then is the line built. */
    public void logSampled(Supplier<String> line) {
        count++;
        if (count <= FIRST_LOGGED_COUNT || count % SAMPLING_INTERVAL == 0) {
            log.accept(line.get() + " (" + count + " so far)");
        }
    }

    /** Returns the number of occurrences so far, logged or not. */
    public long count() {
        return count;
    }
}
