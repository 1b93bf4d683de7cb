package cinderhollow.core;

import java.util.concurrent.TimeUnit;

/**
 * The gateway's one clock: monotonic, and set to Unix time once at the start. Discovery tells in Unix time
 * when a host started, so its figures are this clock's own, and stay equal from one list to the next, which
 * a conversion with two clocks at each list would not grant. Not final: a test's clock stands still.
 */
public class GatewayClock {
    private final long offset = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()) - System.nanoTime();

    /** The time in nanoseconds. */
    public long nanos() {
        return System.nanoTime() + offset;
    }

    /** The clock's time for discovery's, where 0 stands for long ago. */
    public static long ofUnixMillis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
