package cinderhollow.daemon;

import java.nio.file.Path;

/**
 * Ledger configuration of one event loop: how requests and attempts are accounted for.
 *
 * @param everyNanos interval, in nanoseconds, at which the sums are logged; 0 for never
 * @param directory directory in which the journal is kept across restarts, or null
 * @param syncNanos longest time, in nanoseconds, for which written entries wait for a sync to disk
 * @param mostBytes size, in bytes, after which a journal segment is followed by a new one
 * @param loop number of this event loop in the process
 * @param loops number of event loops of the process
 */
record LoopLedgerConfig(long everyNanos, Path directory, long syncNanos, long mostBytes, int loop, int loops) {
    static final long USUAL_BYTES = 64L << 20;

    /** Returns the configuration for one of several event loops. */
    LoopLedgerConfig of(int number, int count) {
        return new LoopLedgerConfig(everyNanos, directory, syncNanos, mostBytes, number, count);
    }
}
