package cinderhollow.http1;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether receiving a request on one connection takes too long. Clients may take 2 s for a head and may send a body at a
 * rate as low as 64 kB/s; a client that stops half-way must get an error or a close within 3 s. Performs no input or output and
 * reads no clock; all times are nanoseconds of one clock. Progress is observed at intervals of {@link #SWEEP_INTERVAL_MILLIS}.
 */
final class RequestReceiveTimeout {
    /** Interval between observations, in milliseconds. */
    static final long SWEEP_INTERVAL_MILLIS = 100;
    /**
     * Time limit of a head from its first byte: somewhat more than the 2 s that clients may take, to allow for network delay.
     */
    private static final long HEAD_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);
    /** Time limit without a further byte of the body. */
    private static final long BODY_IDLE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);
    /** Slowest accepted rate of a body: somewhat below the rate that clients may send at, since no clock is exact. */
    private static final double MIN_BYTES_PER_SECOND = 40_000;

    private long startedAt;
    /** When a body byte was last received. */
    private long lastProgressAt;
    private long bodyBytes;

    /** Starts the timeout at the time when the first byte of a request, or its head, was received. */
    void start(long now) {
        startedAt = now;
        lastProgressAt = now;
        bodyBytes = 0;
    }

    /**
     * Records the number of body bytes received by now. While this side does not read from the client, {@code reading} is false,
     * and the time counts neither as time of the request nor as silence.
     */
    void observe(long now, long receivedBytes, boolean reading) {
        if (!reading) {
            startedAt += TimeUnit.MILLISECONDS.toNanos(SWEEP_INTERVAL_MILLIS);
        }
        if (receivedBytes != bodyBytes || !reading) {
            bodyBytes = receivedBytes;
            lastProgressAt = now;
        }
    }

    /** Returns whether receiving the request takes too long, by what was observed. */
    boolean isOverdue(long now) {
        long allowed = HEAD_TIMEOUT_NANOS + (long) (bodyBytes / MIN_BYTES_PER_SECOND * TimeUnit.SECONDS.toNanos(1));
        return now - startedAt > allowed || now - lastProgressAt > BODY_IDLE_TIMEOUT_NANOS;
    }
}
