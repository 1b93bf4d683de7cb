package cinderhollow.http1;

import java.util.concurrent.TimeUnit;

/**
 * Limits how much of one connection is handled before other connections have their turn: requests that are answered at once, or
 * bodies in tiny pieces, would otherwise be handled without a poll of the sockets. Reads no clock; times are nanoseconds.
 */
final class BurstLimit {
    /** The least that handling a request counts, in decoded parts of requests. */
    private static final int MIN_REQUEST_COST = 16;
    /** What may be handled within an interval, in decoded parts of requests. */
    private static final int MAX_COST = 1024;
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private int cost;
    private long startedAt;

    /** Returns what a request with so many header fields counts, in decoded parts of requests: each field is one to decode. */
    static int requestCost(int headerFields) {
        return Math.max(MIN_REQUEST_COST, headerFields);
    }

    /** Counts what is handled now; returns whether the limit is reached by it, so that {@link #startNext} must follow. */
    boolean count(int addedCost, long now) {
        boolean wasReached = isReached();
        if (!wasReached && now - startedAt >= INTERVAL_NANOS) {
            startedAt = now;
            cost = 0;
        }
        cost += addedCost;
        return isReached() && !wasReached;
    }

    /** Returns whether nothing more may be handled until the sockets have been polled. */
    boolean isReached() {
        return cost >= MAX_COST;
    }

    /** Starts the next burst, after a poll of the sockets. */
    void startNext() {
        cost = 0;
    }
}
