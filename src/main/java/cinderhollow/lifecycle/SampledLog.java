package cinderhollow.lifecycle;

import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Log lines of one kind: the first ones, and from then on each hundredth, so that the log does not grow with the traffic. Of one
 * event loop.
 */
public final class SampledLog {
    private static final long LOGGED_EACH = 20;
    private static final long LOGGED_SELDOM = 100;

    private final Consumer<String> log;
    private long count;

    /** Logs to this. */
    public SampledLog(Consumer<String> log) {
        this.log = log;
    }

    /** Counts one occurrence; its line is made only where it is logged. */
    public void add(Supplier<String> line) {
        count++;
        if (count <= LOGGED_EACH || count % LOGGED_SELDOM == 0) {
            log.accept(line.get() + " (" + count + " so far)");
        }
    }

    /** Occurrences so far, logged or not. */
    public long count() {
        return count;
    }
}
