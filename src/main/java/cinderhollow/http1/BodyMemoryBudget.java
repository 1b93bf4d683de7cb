package cinderhollow.http1;

import java.util.function.LongSupplier;

/**
 * Bounds the direct memory that bodies of requests and responses hold, as a sum over all connections of the process. It decides
 * how large a read may be, and how many bytes one body may hold before reading from its sender stops: the allowance.
 *
 * <p>Half of the budget is shared. The allowance is a fixed fraction of what is free of that half, so that each body leaves room
 * for further ones (dynamic thresholds: Choudhury and Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches",
 * 1998). The other half is reserved in equal parts for the bodies of all connections. When the shared half is used up, each body
 * is read in pieces of its reserved size: slow peers slow down their own bodies, and no body waits for another.
 *
 * <p>What is in use is measured at the buffer pool, since a buffer is held whole as long as any byte of it is; between two
 * measurements every read counts as still held. Performs no input or output. Belongs to one event loop.
 */
public final class BodyMemoryBudget {
    /** Maximum allowance of one body in bytes. A power of two, like all allowances: the buffer pool has few sizes to keep. */
    static final int MAX_ALLOWANCE_BYTES = 64 * 1024;
    /** Bounds, in bytes, of the reserved allowance of one body. */
    private static final int MAX_RESERVED_BYTES = 4 * 1024, MIN_RESERVED_BYTES = 128;
    /** The allowance is this fraction of the shared memory that is free. */
    private static final int FREE_MEMORY_DIVISOR = 8;
    /**
     * Pieces of the reserved size that one connection may hold at most: of the request and of the response each a piece that is
     * being written and one that was read last.
     */
    private static final int PIECES_PER_CONNECTION = 4;
    /** The memory in use is measured again after reads of this many bytes. */
    private static final int MEASURE_INTERVAL_BYTES = 128 * 1024;

    private final LongSupplier bytesInUse;
    private final long maxSharedBytes;
    private final int reservedBytes;
    private long sharedBytes;
    private long measuredBytes;
    /** Size of all reads since the last measurement. */
    private long readBytes;

    /**
     * Creates the budget of one event loop.
     *
     * @param maxBytes memory that the bodies may hold in the whole process, in bytes
     * @param maxConnections maximum number of client connections of the whole process
     * @param bytesInUse measures the memory of the process that is in use, in bytes
     */
    public BodyMemoryBudget(long maxBytes, int maxConnections, LongSupplier bytesInUse) {
        this.bytesInUse = bytesInUse;
        maxSharedBytes = maxBytes / 2;
        sharedBytes = maxSharedBytes;
        long reserved = (maxBytes - maxSharedBytes) / ((long) maxConnections * PIECES_PER_CONNECTION);
        reservedBytes = (int) Long.highestOneBit(Math.max(MIN_RESERVED_BYTES, Math.min(MAX_RESERVED_BYTES, reserved)));
        measuredBytes = bytesInUse.getAsLong();
    }

    /**
     * Sets whether another process of this gateway runs. Both together then hold no more than one may: the shared part is divided,
     * and each has half of the connections.
     */
    public void setDivided(boolean divided) {
        sharedBytes = divided ? maxSharedBytes / 2 : maxSharedBytes;
    }

    /**
     * Returns how many bytes one body may hold at present before reading from its sender stops, which is also the maximum size of
     * a read. Never zero.
     */
    int allowanceBytes() {
        if (readBytes >= MEASURE_INTERVAL_BYTES) {
            measuredBytes = bytesInUse.getAsLong();
            readBytes = 0;
        }
        long fraction = (sharedBytes - measuredBytes - readBytes) / FREE_MEMORY_DIVISOR;
        return fraction <= reservedBytes ? reservedBytes : (int) Long.highestOneBit(Math.min(MAX_ALLOWANCE_BYTES, fraction));
    }

    /** Returns whether so much memory is in use that the allowance is below its maximum. */
    boolean isScarce() {
        return allowanceBytes() < MAX_ALLOWANCE_BYTES;
    }

    /** Records that a buffer of this size has been allocated for a read. */
    void recordRead(int bytes) {
        readBytes += bytes;
    }
}
