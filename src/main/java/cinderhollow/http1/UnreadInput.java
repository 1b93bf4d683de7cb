package cinderhollow.http1;

/**
 * Records since when input may have been waiting unread in a connection's socket: while reading is paused, and until a read has
 * found the socket empty again. The end of the connection may lie behind such input, and the last byte of a request may be among
 * it. Performs no input or output and reads no clock; all times are nanoseconds of one clock.
 */
final class UnreadInput {
    private boolean exists;
    private long since;
    private long endedNanos;

    /** Records that input may have been waiting since this time, unless it may have been for longer. */
    void mayExistSince(long at) {
        if (!exists) {
            exists = true;
            since = at;
        }
    }

    /** Records that the socket is empty now, and is being read. */
    void clear(long now) {
        endedNanos = totalNanos(now);
        exists = false;
    }

    /** Records that the socket is empty now, but is not being read. */
    void restart(long now) {
        clear(now);
        mayExistSince(now);
    }

    /** Returns whether input may be waiting unread. */
    boolean mayExist() {
        return exists;
    }

    /** Returns since when input may be waiting unread. Must be called only while it may. */
    long since() {
        return since;
    }

    /** Returns the earliest time at which input may have arrived that is read after such a time, or else arrived at {@code at}. */
    long earliest(long at) {
        return exists ? Math.min(since, at) : at;
    }

    /** Returns for how many nanoseconds input may have been waiting in all. */
    long totalNanos(long now) {
        return endedNanos + (exists ? now - since : 0);
    }
}
