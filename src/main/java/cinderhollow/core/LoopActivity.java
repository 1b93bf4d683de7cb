package cinderhollow.core;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Counts what an event loop does between two ticks, so that the log can tell why a tick was late: a thread without a core, one
 * handler that takes long, or many that are short. Belongs to one event loop.
 */
public final class LoopActivity {
    /** What runs on the event loop. A handler may run within another one. */
    public enum Handler {
        /** Input of a client. */
        CLIENT_READ,
        /** A request of a client that waited for something. */
        CLIENT_TASK,
        /** Input of a server. */
        SERVER_READ,
        /** Events of the decision module. */
        DECISION,
        /** The periodic checks of all connections. */
        SWEEP
    }

    private static final long BYTES_PER_KIB = 1024;

    private long accepts;
    private long reads;
    private long readBytes;
    private long handlers;
    private Handler longestHandler;
    private long longestNanos;
    private ThreadSchedulingTimes schedulingTimes;
    private ThreadSchedulingTimes.Times timesAtTick;

    /** Records a connection that has been accepted. */
    public void recordAccept() {
        accepts++;
    }

    /** Records a read of a socket that returned this many bytes, or a negative number at the end of the connection. */
    public void recordRead(int bytes) {
        reads++;
        readBytes += Math.max(0, bytes);
    }

    /** Records that a handler has run for this many nanoseconds. */
    public void recordHandler(Handler handler, long nanos) {
        handlers++;
        if (nanos > longestNanos) {
            longestNanos = nanos;
            longestHandler = handler;
        }
    }

    /** Starts the next interval between two ticks. Called on the event loop's thread. */
    public void startInterval() {
        if (schedulingTimes == null) {
            schedulingTimes = new ThreadSchedulingTimes();
        }
        timesAtTick = schedulingTimes.read();
        accepts = 0;
        reads = 0;
        readBytes = 0;
        handlers = 0;
        longestNanos = 0;
        longestHandler = null;
    }

    /** Returns a description, for the log, of what the loop has done in this interval. */
    public String describe() {
        return describeScheduling() + ", " + accepts + " accepts, " + reads + " reads of " + readBytes / BYTES_PER_KIB + " KiB, "
                + handlers + " handlers" + (longestHandler == null ? "" : ", the longest " + longestHandler.name().toLowerCase(Locale.ROOT)
                + " with " + TimeUnit.NANOSECONDS.toMicros(longestNanos) + " us");
    }

    private String describeScheduling() {
        ThreadSchedulingTimes.Times now = schedulingTimes == null ? null : schedulingTimes.read();
        if (now == null || timesAtTick == null) {
            return "CPU time unknown";
        }
        return "on a core for " + TimeUnit.NANOSECONDS.toMillis(now.runNanos() - timesAtTick.runNanos()) + " ms, without one for "
                + TimeUnit.NANOSECONDS.toMillis(now.waitNanos() - timesAtTick.waitNanos()) + " ms";
    }
}
