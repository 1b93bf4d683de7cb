package cinderhollow.daemon;

import java.nio.file.Path;

/**
 * Ledger configuration of one event loop: how requests and attempts are accounted for.
 *
 * @param logIntervalNanos interval, in nanoseconds, at which the sums are logged; 0 for never
 * @param directory directory in which the journal is kept across restarts, or null
 * @param syncIntervalNanos longest time, in nanoseconds, for which written entries wait for a sync to disk
 * @param maxSegmentBytes size, in bytes, after which a journal segment is followed by a new one
 * @param loopNumber number of this event loop in the process
 * @param loopCount number of event loops of the process
 */
record LoopLedgerConfig(long logIntervalNanos, Path directory, long syncIntervalNanos, long maxSegmentBytes, int loopNumber,
        int loopCount) {
    static final long DEFAULT_MAX_SEGMENT_BYTES = 64L << 20;

    /** Returns the configuration for one of several event loops. */
    LoopLedgerConfig forLoop(int number, int count) {
        return new LoopLedgerConfig(logIntervalNanos, directory, syncIntervalNanos, maxSegmentBytes, number, count);
    }
}
