package cinderhollow.operator;

import java.nio.file.Path;

/**
 * How account is to be kept.
 *
 * @param everyNanos how often the sums go to the log, 0 for never
 * @param directory where it is kept over restarts, or null
 * @param syncNanos how long what is written may wait for the disk itself
 */
public record Books(long everyNanos, Path directory, long syncNanos) { }
