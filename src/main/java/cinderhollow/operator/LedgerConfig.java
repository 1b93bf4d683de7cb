package cinderhollow.operator;

import java.nio.file.Path;

/**
 * Settings of the ledger of requests and attempts.
 *
 * @param logIntervalNanos the interval at which the totals are logged, in nanoseconds; 0 for never
 * @param directory the directory of the journal, which keeps the ledger across restarts, or null for no journal
 * @param syncIntervalNanos the longest time between writing a journal entry and syncing it to disk, in nanoseconds
 */
public record LedgerConfig(long logIntervalNanos, Path directory, long syncIntervalNanos) { }
