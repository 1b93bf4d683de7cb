package cinderhollow.http1;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether the request that arrives on one connection takes too long: a client may need 2 s for a head and send a body at
 * 64 kB a second, and one that stops half way is owed an error or a close within 3 s. No input or output and no clock; all times
 * are nanoseconds of one clock. What has arrived is observed at intervals of {@link #SWEEP_MILLIS}.
 */
final class ArrivalTimer {
    /** How far apart the observations are. */
    static final long SWEEP_MILLIS = 100;
    /** For a head, from its first byte; with somewhat more than clients may take, for the way. */
    private static final long HEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);
    /** Without a further byte of the body. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);
    /** No clock is exact, so a body may come somewhat slower than clients may send it. */
    private static final double LEAST_BYTES_PER_SECOND = 40_000;

    private long startedAt;
    private long progressAt;
    private long bodyBytes;

    /** The first byte of a request, or its head, came at this time. */
    void start(long now) {
        startedAt = now;
        progressAt = now;
        bodyBytes = 0;
    }

    /**
     * So much of the body has come by now. While this side does not read, {@code reading} is false, and the time counts neither
     * as the request's nor as silence.
     */
    void observe(long now, long receivedBytes, boolean reading) {
        if (!reading) {
            startedAt += TimeUnit.MILLISECONDS.toNanos(SWEEP_MILLIS);
        }
        if (receivedBytes != bodyBytes || !reading) {
            bodyBytes = receivedBytes;
            progressAt = now;
        }
    }

    /** Whether it takes too long, by what was observed. */
    boolean isOverdue(long now) {
        long allowed = HEAD_NANOS + (long) (bodyBytes / LEAST_BYTES_PER_SECOND * TimeUnit.SECONDS.toNanos(1));
        return now - startedAt > allowed || now - progressAt > SILENCE_NANOS;
    }
}
