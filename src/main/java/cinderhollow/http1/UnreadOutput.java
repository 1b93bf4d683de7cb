package cinderhollow.http1;

import java.util.concurrent.TimeUnit;

/**
 * Bounds how long a client may still need to read what has been written to its connection. The system's buffers hold it until then,
 * and a close with unread input, or input behind a close, resets the connection, which discards it. No client reads more slowly than
 * {@link #MIN_CLIENT_BYTES_PER_MILLI}, and no more than the socket's send buffer is unsent. Used by one event loop only; all times
 * are nanoseconds of one clock.
 */
final class UnreadOutput {
    /** The lowest rate at which clients read responses. */
    static final int MIN_CLIENT_BYTES_PER_MILLI = 64;
    private static final long NANOS_PER_BYTE = TimeUnit.MILLISECONDS.toNanos(1) / MIN_CLIENT_BYTES_PER_MILLI;
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** When a client that reads at the lowest rate has read everything. */
    private long readAt = NEVER;
    /** Size of the send buffer once it has been limited. */
    private long sendBufferLimitBytes = Long.MAX_VALUE / NANOS_PER_BYTE / 2;

    /** Notes that the socket has accepted so many bytes, and so has room in its send buffer. */
    void add(long bytes, long now) {
        readAt = Math.max(readAt, now) + bytes * NANOS_PER_BYTE;
        capTo(sendBufferLimitBytes, now);
    }

    /**
     * Notes that the size of the send buffer is changed from one value to another, and stays at that. What the buffer holds beyond
     * the new size stays in it; it accepts more only when it holds less.
     */
    void limitSendBuffer(long oldBytes, long newBytes, long now) {
        capTo(oldBytes, now);
        sendBufferLimitBytes = newBytes;
    }

    private void capTo(long bytes, long now) {
        readAt = Math.min(readAt, now + bytes * NANOS_PER_BYTE);
    }

    /** Returns for how many nanoseconds at most the client may still have something to read; 0 if it has read everything. */
    long remainingNanos(long now) {
        return Math.max(0, readAt - now);
    }
}
