package cinderhollow.daemon;

import java.nio.file.Path;

/**
 * How account is kept of requests and attempts.
 *
 * @param everyNanos how often the sums go to the log, 0 for never
 * @param directory where the journal is kept over restarts, or null
 * @param syncNanos how long what is written may wait for the disk itself
 * @param mostBytes a file of the journal that is longer is followed by a new one
 * @param loop which of the process's event loops this is
 * @param loops of how many
 */
record Bookkeeping(long everyNanos, Path directory, long syncNanos, long mostBytes, int loop, int loops) {
    static final long USUAL_BYTES = 64L << 20;

    /** The same for one of several loops. */
    Bookkeeping of(int number, int count) {
        return new Bookkeeping(everyNanos, directory, syncNanos, mostBytes, number, count);
    }
}
