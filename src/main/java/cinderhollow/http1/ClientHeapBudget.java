package cinderhollow.http1;

import java.util.StringJoiner;

/**
 * Bounds the heap that clients make the process hold, as one sum over the connections of one event loop: input that waits to be
 * decoded, heads that are being received, requests that are open, and responses that their clients have not read. Each part counts
 * at what it costs in the heap, which for a head of many short fields is some thirty times its length. Buffers outside the heap
 * are bounded by {@link BodyMemoryBudget}.
 *
 * <p>Half of the sum is reserved in equal parts for the connections, so that each can always hold a usual request, a little input
 * and some answers. Of one of these a connection may hold more as long as it leaves as much of the shared half free (dynamic
 * thresholds, as in {@link BodyMemoryBudget}). All of it is asked for before it is held. What happens to a connection beyond its
 * allowance is decided in {@link DownstreamConnectionManager}: while it has something open, it is not read; a request that does not
 * fit by itself is refused.
 *
 * <p>The costs are estimates for a 64-bit Java runtime with compressed references. Performs no input or output. Belongs to one
 * event loop.
 */
public final class ClientHeapBudget {
    /** Cost of one header field beside its characters: its entry in two maps, and the objects of its name and its value. */
    static final int FIELD_BYTES = 192;
    /** Cost of one open request beside its fields: its state here, in the decision module and on its way to a server. */
    static final int REQUEST_BYTES = 2048;
    /** Cost of one response that is not flushed yet: its entries in the connection's outbound buffer, and their listeners. */
    static final int RESPONSE_BYTES = 1024;

    /** A connection may hold this fraction of the shared bytes that are free. */
    private static final int FREE_BYTES_DIVISOR = 2;
    /** Parts of what is reserved for a connection: for a request, for input that waits, and for answers. */
    private static final int REQUEST_PARTS = 5, INPUT_PARTS = 2, ANSWER_PARTS = 1, ALL_PARTS =
            REQUEST_PARTS + INPUT_PARTS + ANSWER_PARTS;
    private static final long BYTES_PER_KIB = 1024;

    private final long maxBytes;
    private final long reservedBytes;
    private long sharedBytes;
    private final long[] heldBytesByUse = new long[ClientHeapUse.values().length];
    private long heldBytes;

    /**
     * Creates the budget of one event loop.
     *
     * @param maxBytes heap that the clients of this loop may make the process hold, in bytes
     * @param maxConnections maximum number of client connections of this loop
     */
    public ClientHeapBudget(long maxBytes, int maxConnections) {
        this.maxBytes = maxBytes;
        sharedBytes = maxBytes / 2;
        reservedBytes = (maxBytes - sharedBytes) / maxConnections;
    }

    /**
     * Sets whether another process of this gateway runs. Both together then hold no more than one may: the shared part is divided,
     * and each has half of the connections.
     */
    public void setDivided(boolean divided) {
        sharedBytes = divided ? maxBytes / 2 / 2 : maxBytes / 2;
    }

    /** Adds to what all clients make the process hold for one use, in bytes; a negative number subtracts. */
    public void add(ClientHeapUse use, long bytes) {
        heldBytesByUse[use.ordinal()] += bytes;
        heldBytes += bytes;
    }

    /** Returns whether the request that one connection receives, or has open, may cost so many bytes at present. */
    boolean allowsRequest(long bytes) {
        return bytes <= allowance(REQUEST_PARTS);
    }

    /** Returns how many bytes of input may wait on one connection at present. */
    long inputAllowance() {
        return allowance(INPUT_PARTS);
    }

    /** Returns whether the answers of one connection that its client has not read may cost so many bytes at present. */
    boolean allowsAnswers(long bytes) {
        return bytes <= allowance(ANSWER_PARTS);
    }

    private long allowance(int parts) {
        return Math.max(reservedBytes * parts / ALL_PARTS, (sharedBytes - heldBytes) / FREE_BYTES_DIVISOR);
    }

    /** Returns what all connections hold at present, in bytes. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns what all connections hold at present for one use, in bytes. */
    public long heldBytes(ClientHeapUse use) {
        return heldBytesByUse[use.ordinal()];
    }

    /** Describes what all connections hold at present, by use, in KiB. */
    public String describe() {
        StringJoiner uses = new StringJoiner(", ", " (", ")");
        for (ClientHeapUse use : ClientHeapUse.values()) {
            uses.add(use.description() + " " + heldBytes(use) / BYTES_PER_KIB);
        }
        return heldBytes / BYTES_PER_KIB + " of " + maxBytes / BYTES_PER_KIB + " KiB" + uses;
    }
}
