package cinderhollow.core;

import java.util.concurrent.TimeUnit;

/**
 * The gateway's only clock: it is monotonic, and set to Unix time once, when it is created. Discovery gives the start times of
 * servers in Unix time, so that they are times of this clock without conversion and stay equal from one list to the next; a
 * conversion between two clocks at each list would not ensure that. Not final, as tests replace it by a clock that stands still.
 */
public class GatewayClock {
    private final long offset = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()) - System.nanoTime();

    /** Returns the current time in nanoseconds since the Unix epoch. */
    public long nanos() {
        return System.nanoTime() + offset;
    }

    /** Returns this clock's time for a value of {@link System#nanoTime}. */
    public long ofNanoTime(long nanoTime) {
        return nanoTime + offset;
    }

    /** Returns this clock's time, in nanoseconds, for discovery's Unix time in milliseconds; 0, for long ago, stays 0. */
    public static long ofUnixMillis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
