package cinderhollow.http1;

import java.util.concurrent.TimeUnit;

/**
 * Limits for how long the event loop handles input of all clients together before it polls its sockets again. Time counts, and
 * not the amount of input, as what a piece of input takes depends on its kind and on the core that the process gets. Reads no
 * clock; times are nanoseconds.
 */
final class ClientWorkLimit {
    private static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private long usedNanos;
    /** When the outermost handler began that runs now. */
    private long startedAt;
    private int runningHandlers;

    /** Records that a handler of clients' input begins, which may run within another one. */
    void enter(long now) {
        if (runningHandlers++ == 0) {
            startedAt = now;
        }
    }

    /** Records that the handler that began last ends. */
    void exit(long now) {
        if (--runningHandlers == 0) {
            usedNanos += now - startedAt;
        }
    }

    /** Returns whether a handler runs now. */
    boolean isRunning() {
        return runningHandlers > 0;
    }

    /** Returns whether no more input may be handled until the limit is reset. */
    boolean isReached(long now) {
        return usedNanos + (isRunning() ? now - startedAt : 0) >= MAX_NANOS;
    }

    /** Starts anew, after a poll of the sockets. Must not be called while a handler runs. */
    void reset() {
        usedNanos = 0;
    }
}
