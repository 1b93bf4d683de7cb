package cinderhollow.http1;

/**
 * Limits how much of one connection is handled before other connections have their turn: requests that are answered at once, or
 * bodies in tiny pieces, would otherwise keep others waiting for as long as they last.
 */
final class BurstLimit {
    /** A decoded part counts once more for each of so many bytes: a body's parts are as large as its reads. */
    private static final int PART_BYTES = 1024;
    /** The least that handling a request counts, in decoded parts of requests. */
    private static final int MIN_REQUEST_COST = 16;
    /** What may be handled at a time, in decoded parts of requests: the largest read of a body fits. */
    private static final int MAX_COST = 128;

    private int cost;
    private long countedPeriod;

    /** Returns what a request with so many header fields counts, in decoded parts of requests: each field is one to decode. */
    static int requestCost(int headerFields) {
        return Math.max(MIN_REQUEST_COST, headerFields);
    }

    /** Returns what a decoded part of this many bytes counts. */
    static int partCost(int bytes) {
        return 1 + bytes / PART_BYTES;
    }

    /** Counts what is handled in this period between two polls of the sockets. */
    void count(int addedCost, long period) {
        cost = period == countedPeriod ? cost + addedCost : addedCost;
        countedPeriod = period;
    }

    /** Returns whether no more may be handled in this period, unless the connection has another turn. */
    boolean isReached(long period) {
        return period == countedPeriod && cost >= MAX_COST;
    }

    /** Starts the connection's next turn. */
    void startNext() {
        cost = 0;
    }
}
